//! Keys of the records in the platform's key-value service.

use cherrystand_core::{DomainId, WorkspaceId, ZoneId};

/// The prefix of all records that every daemon reads.
pub(crate) const SHARED: &str = "cherrystand/shared/";

/// The prefix of the workspaces' records.
pub(crate) const WORKSPACES: &str = "cherrystand/shared/workspace/";

/// The prefix of the domains' records.
pub(crate) const DOMAINS: &str = "cherrystand/shared/domain/";

/// The key of the record of requests suspected of crashing boxes.
pub(crate) const SUSPECTS: &str = "cherrystand/shared/suspects";

/// The key of the box list among the records that daemons exchange. The platform keeps the list
/// outside the key-value service.
pub(crate) const INVENTORY: &str = "platform/inventory";

/// The prefix of the records that daemons exchange in deployments with configured routes. They are
/// copies of records that operators write to the store.
pub(crate) const SITE_RECORDS: &str = "site/";

/// The key of the copy of the operators' configuration.
pub(crate) const SITE_CONFIG: &str = "site/config";

/// The key of the copy of the list of evacuated availability zones.
pub(crate) const EVACUATED_ZONES: &str = "site/emptied-zones";

/// The prefix of the claims on calls.
const CLAIMS: &str = "cherrystand/claims/";

/// The prefix of the lists of daemons that read the store. A daemon reads these lists only at its start.
const READERS: &str = "cherrystand/readers/";

/// Returns the key of the list of a zone's readers.
pub(crate) fn readers(zone: &ZoneId) -> String {
    format!("{READERS}{zone}")
}

/// Returns the key of a workspace's record.
pub(crate) fn workspace(id: &WorkspaceId) -> String {
    format!("{WORKSPACES}{id}")
}

/// Returns the key of a domain's record.
pub(crate) fn domain(id: &DomainId) -> String {
    format!("{DOMAINS}{id}")
}

/// Returns the key of the record of a claim shard.
pub(crate) fn claims(shard: u64) -> String {
    format!("{CLAIMS}{shard:02}")
}
