//! The duty that reads the platform's records and lists.
//!
//! Only a few daemons of a zone watch; the others get the records from peers, and read for
//! themselves only when no fresh news comes.

use std::time::Duration;

use cherrystand_core::{FRESH_FOR, Millis, Revision, rank_by_hash};
use cherrystand_platform::{BoxList, KeyValue, PlatformClient, PlatformError};

use crate::counting_client::CountingClient;
use crate::kernel::{Duty, DutyScope};
use crate::keys;
use crate::state::{StateEvent, View};
use crate::{DutyContext, DutyError, StopPhase};

/// How many daemons of each zone watch.
const WATCHERS_PER_ZONE: usize = 2;

/// How long one watch waits for a change.
const WATCH_FOR: Duration = Duration::from_millis(2_000);

/// How long a daemon that does not watch waits before it looks again whether it should.
const IDLE_FOR: Duration = Duration::from_millis(500);

/// The least time between two calls of a watcher; changes that come faster arrive together.
const LEAST_BETWEEN: Duration = Duration::from_millis(100);

/// How old the box list may grow before a watcher reads it again.
const LIST_LIFE: Millis = Millis(1_800);

/// How long a watcher pauses after the platform failed it.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// A daemon that does not watch reads for itself once the news is this old.
const READ_WHEN_OLDER: Millis = Millis(FRESH_FOR.0 / 2);

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
    let mut watcher =
        Watcher { cx, client: CountingClient::new(cx, "watch"), known: None, listed: None };
    loop {
        if !should_read(&cx.current_view()) {
            tokio::time::sleep(IDLE_FOR).await;
            continue;
        }
        if let Err(err) = watcher.read_once().await {
            log::warn!("the platform could not be read: {err}");
            // A service that was set up anew counts its revisions from the start.
            watcher.known = None;
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
        tokio::time::sleep(LEAST_BETWEEN).await;
    }
}

fn should_read(view: &View) -> bool {
    let zone = &view.own.zone;
    let neighbours = view.alive().filter(|beat| &beat.zone == zone);
    let watchers = rank_by_hash("platform-watch", neighbours);
    let chosen = watchers.iter().take(WATCHERS_PER_ZONE).any(|beat| beat.node == view.own.node);
    let stale = view.platform_age.is_none_or(|age| age > READ_WHEN_OLDER);
    chosen || stale
}

struct Watcher<'a> {
    cx: &'a DutyContext,
    client: CountingClient<PlatformClient>,
    /// The revision up to which all records are known.
    known: Option<Revision>,
    /// When the box list was last read.
    listed: Option<Millis>,
}

impl Watcher<'_> {
    async fn read_once(&mut self) -> Result<(), PlatformError> {
        let asked = self.cx.clock.now();
        let changes = match self.known {
            None => self.client.list(keys::SHARED).await?,
            Some(known) => self.client.watch(keys::SHARED, known, WATCH_FOR).await?,
        };
        self.known = Some(changes.revision);
        self.cx.send_to_state(StateEvent::Records(changes.records));
        self.cx.send_to_state(StateEvent::PlatformRead { asked });
        self.read_list().await
    }

    async fn read_list(&mut self) -> Result<(), PlatformError> {
        let now = self.cx.clock.now();
        if self.listed.is_some_and(|listed| now.since(listed) < LIST_LIFE) {
            return Ok(());
        }
        let inventory = self.client.inventory().await?;
        self.cx.send_to_state(StateEvent::Inventory(inventory));
        self.listed = Some(now);
        Ok(())
    }
}
