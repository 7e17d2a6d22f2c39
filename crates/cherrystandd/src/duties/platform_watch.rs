//! The duty that reads the platform's records and its list of boxes.
//!
//! Only a few daemons of a zone watch the platform. The others get the records from peers and read
//! the platform themselves only when what they get from peers is too old.

use std::time::Duration;

use cherrystand_core::{FRESH_FOR, Millis, Revision, rank_by_hash};
use cherrystand_platform::{BoxList, KeyValue, PlatformClient, PlatformError};

use crate::counting_client::CountingClient;
use crate::kernel::{Duty, DutyScope};
use crate::keys;
use crate::state::{StateEvent, View};
use crate::{DutyContext, DutyError, StopPhase};

/// How many daemons of each zone watch the platform.
const WATCHERS_PER_ZONE: usize = 2;

/// How long one watch call waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How often a daemon that does not watch checks whether it should.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest time between two reads; changes that come faster are read together.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// The age of the list of boxes at which a watcher reads it again.
const MAX_LIST_AGE: Millis = Millis(1_800);

/// How long a watcher waits after a failed read.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The age of the data at which a daemon that does not watch reads the platform itself.
const MAX_DATA_AGE: Millis = Millis(FRESH_FOR.0 / 2);

inventory::submit! {
    Duty { name: "platform-watch", scope: DutyScope::Workspaces, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    cx.run_local(async {
        tokio::select! {
            () = watch(&cx) => {}
            () = cx.wait_for_stop(StopPhase::Stopped) => {}
        }
    })
}

async fn watch(cx: &DutyContext) {
    let mut watcher = Watcher {
        cx,
        client: CountingClient::new(cx, "watch"),
        known_revision: None,
        list_read_at: None,
    };
    loop {
        if !should_read(&cx.current_view()) {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        if let Err(err) = watcher.read_once().await {
            log::warn!("the platform could not be read: {err}");
            // A store that was set up anew counts its revisions from the start.
            watcher.known_revision = None;
            tokio::time::sleep(FAILURE_RETRY_DELAY).await;
        }
        tokio::time::sleep(MIN_READ_INTERVAL).await;
    }
}

fn should_read(view: &View) -> bool {
    let zone = &view.own.zone;
    let same_zone = view.alive().filter(|beat| &beat.zone == zone);
    let watchers = rank_by_hash("platform-watch", same_zone);
    let is_watcher = watchers.iter().take(WATCHERS_PER_ZONE).any(|beat| beat.node == view.own.node);
    let is_stale = view.platform_age.is_none_or(|age| age > MAX_DATA_AGE);
    is_watcher || is_stale
}

struct Watcher<'a> {
    cx: &'a DutyContext,
    client: CountingClient<PlatformClient>,
    /// The revision up to which all records were read.
    known_revision: Option<Revision>,
    /// When the list of boxes was last read.
    list_read_at: Option<Millis>,
}

impl Watcher<'_> {
    async fn read_once(&mut self) -> Result<(), PlatformError> {
        let asked_at = self.cx.clock.now();
        let changes = match self.known_revision {
            None => self.client.list(keys::SHARED).await?,
            Some(known) => self.client.watch(keys::SHARED, known, WATCH_TIMEOUT).await?,
        };
        self.known_revision = Some(changes.revision);
        self.cx.send_to_state(StateEvent::Records(changes.records));
        self.cx.send_to_state(StateEvent::PlatformRead { asked_at });
        self.read_list().await
    }

    async fn read_list(&mut self) -> Result<(), PlatformError> {
        let now = self.cx.clock.now();
        if self.list_read_at.is_some_and(|read_at| now.since(read_at) < MAX_LIST_AGE) {
            return Ok(());
        }
        let inventory = self.client.inventory().await?;
        self.cx.send_to_state(StateEvent::Inventory(inventory));
        self.list_read_at = Some(now);
        Ok(())
    }
}
