//! Reads of the store, and what their answers change.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Millis, Revision};
use cherrystand_platform::{Changes, KeyValue, PlatformError, SiteDriver};

use crate::keys;
use crate::site::control::{Control, to_duration};
use crate::site::outage_witnesses::confirm_any_outage;
use crate::site::{ChangeSource, Driver};

/// How long a watch waits for a change that is to be answered at once.
const NO_WAIT: Duration = Duration::ZERO;

/// How many answers of the store follow one another in a complete list of a few pages.
const LIST_ANSWERS: u64 = 3;

/// Reads from the store what this daemon lacks, or everything if it has to `relist` or knows nothing
/// completely.
pub(super) async fn read_store(control: Rc<Control>, relist: bool) -> Result<(), PlatformError> {
    match control.complete_up_to().filter(|_| !relist) {
        Some(after) => watch_once(&control, after).await,
        None => list_all(&control).await,
    }
}

/// Returns how long a read of the store may take before it is late.
pub(super) fn read_patience(control: &Control, relist: bool) -> Millis {
    let answer = control.store.answer_time().patience();
    let is_list = relist || control.complete_up_to().is_none();
    match is_list {
        // Its answers follow one another.
        true => Millis(answer.0 * LIST_ANSWERS),
        false => control.budget().watch_timeout() + answer,
    }
}

/// Reads from the store at once what this daemon lacks, over a new connection.
pub(super) async fn read_store_at_once(control: &Rc<Control>) -> Result<(), PlatformError> {
    match control.complete_up_to() {
        Some(after) => read_after_at_once(control, after).await?,
        None => list_all(control).await?,
    }
    confirm_any_outage(control);
    Ok(())
}

async fn read_after_at_once(control: &Control, after: Revision) -> Result<(), PlatformError> {
    // Idle connections may be stalled.
    control.store.close_idle_connections();
    let sent_at = control.now();
    match control.store.watch("", after, NO_WAIT).await {
        Ok(changes) => {
            record_answer_time(control);
            apply_watched(control, &changes, control.now().since(sent_at));
            Ok(())
        }
        Err(PlatformError::HistoryLost | PlatformError::EraChanged) => list_all(control).await,
        Err(err) => Err(err),
    }
}

async fn list_all(control: &Control) -> Result<(), PlatformError> {
    let began = control.now();
    let records = control.store.list(keys::SHARED).await?;
    let boxes = control.store.list(Driver::BOX_PREFIX);
    let operators = control.store.list(Driver::OPERATOR_PREFIX);
    let (boxes, operators) = tokio::join!(boxes, operators);
    let (boxes, operators) = (boxes?, operators?);
    let now = control.now();
    if operators.revision.era() != records.revision.era()
        || boxes.revision.era() != records.revision.era()
    {
        return Err(PlatformError::EraChanged);
    }
    let mut state = control.state.borrow_mut();
    state.enter_era(boxes.revision, now);
    state.apply_operator_list(&operators, now);
    state.mark_missing_records_lost(&records);
    state.apply_changes(&records, now);
    state.apply_list(&boxes.records, boxes.revision, now);
    drop(state);
    record_answer_time(control);
    control.record_store_answer();
    control.record_update(&ChangeSource::Store, now.since(began), true);
    // The revision of the first of the three lists: changes after it are read again.
    control.record_complete(records.revision);
    Ok(())
}

async fn watch_once(control: &Control, after: Revision) -> Result<(), PlatformError> {
    let began = control.now();
    let wait = to_duration(control.budget().watch_timeout());
    let changes = control.store.watch("", after, wait).await?;
    record_answer_time(control);
    let took = control.now().since(began);
    let has_changes = !changes.records.is_empty() || !changes.removed.is_empty();
    let age = control.budget().watch_answer_age(took, has_changes);
    apply_watched(control, &changes, age);
    Ok(())
}

/// Records how long the store takes to answer this daemon.
fn record_answer_time(control: &Control) {
    control.record_answer_time(control.store.answer_time().usual());
}

/// Applies changes that the store sent up to `age` ago.
fn apply_watched(control: &Control, changes: &Changes, age: Millis) {
    let before = control.state.borrow().change_count();
    control.time_apply(|| control.state.borrow_mut().apply_changes(changes, control.now()));
    control.record_store_answer();
    // Most answers contain only heartbeats that change nothing.
    let has_changes = control.state.borrow().change_count() != before;
    control.record_update(&ChangeSource::Store, age, has_changes);
    control.record_complete(changes.revision);
    // A step is due even if no box changed: failed orders are resent, and closing replicas reach
    // their deadlines.
    control.wake.notify_one();
}
