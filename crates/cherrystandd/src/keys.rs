//! Where the records stand in the platform's key-value service.

use cherrystand_core::{DomainId, WorkspaceId, ZoneId};

/// Below this stands everything that all daemons have to know.
pub(crate) const SHARED: &str = "cherrystand/shared/";

/// Below this stand the workspaces' records.
pub(crate) const WORKSPACES: &str = "cherrystand/shared/workspace/";

/// Below this stand the domains' records.
pub(crate) const DOMAINS: &str = "cherrystand/shared/domain/";

/// Names the record of requests that end replicas.
pub(crate) const SUSPECTS: &str = "cherrystand/shared/suspects";

/// Names the box list among the records that daemons pass on; the platform keeps it elsewhere.
pub(crate) const INVENTORY: &str = "platform/inventory";

/// Below this stand the copies that daemons pass on where routes are configured.
pub(crate) const SITE_RECORDS: &str = "site/";

/// Names the copy of the operators' configuration.
pub(crate) const SITE_CONFIG: &str = "site/config";

/// Names the copy of which availability zones operators have emptied.
pub(crate) const EVACUATED_ZONES: &str = "site/emptied-zones";

/// Below this stand the claims on calls.
const CLAIMS: &str = "cherrystand/claims/";

/// Below this stand the notes of who reads the store; nobody but a daemon that starts reads them.
const READERS: &str = "cherrystand/readers/";

/// Returns the key of the note of a zone's readers.
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

/// Returns the key of a shard of claims.
pub(crate) fn claims(shard: u64) -> String {
    format!("{CLAIMS}{shard:02}")
}
