//! How the store's record and what one daemon knows are joined.

use crate::site::suspect::Suspect;
use crate::{CrashSuspects, Fingerprint, Millis, SuspectEntry, SuspectRecord};

/// From this many crashes on, a request is recorded in the store, for daemons that missed the
/// peers' messages or start later.
const MIN_RECORDED_CRASHES: usize = 2;

impl CrashSuspects {
    /// Merges the store's record, at the Unix time `unix_ms`. One that no daemon can have written is
    /// ignored.
    pub fn merge_record(&mut self, record: &SuspectRecord, unix_ms: u64, now: Millis) {
        if !record.is_bounded() {
            return;
        }
        for entry in record.requests.iter().filter(|entry| entry.is_fresh(unix_ms)) {
            self.make_room(entry.request, now);
            let suspect = self.suspects.entry(entry.request).or_default();
            suspect.last_activity = suspect
                .last_activity
                .max(now - Millis(unix_ms.saturating_sub(entry.last_activity_ms)));
            for box_id in &entry.unrelated {
                suspect.crash_groups.iter_mut().for_each(|group| _ = group.boxes.remove(box_id));
                suspect.unrelated.insert(box_id.clone());
            }
            suspect.crash_groups.retain(|group| !group.boxes.is_empty());
            // Another daemon may have run trials; this one continues the backoff from there.
            let tried = now - Millis(unix_ms.saturating_sub(entry.last_trial_ms));
            if entry.last_trial_ms > 0 && tried > suspect.last_trial {
                (suspect.trials, suspect.last_trial) = (entry.trials, tried);
            }
            for boxes in &entry.crash_groups {
                suspect.merge_crash_group(boxes, now);
            }
            if self.was_served_recently(entry.request, now) {
                self.dismiss_crashes(entry.request, now);
            }
        }
    }

    /// Returns what this daemon knows beyond the `stored` record, at the Unix time `unix_ms`. If it
    /// `is_isolated` from its peers, it also reports requests with a single crash.
    pub fn to_record(
        &self,
        stored: &SuspectRecord,
        is_isolated: bool,
        unix_ms: u64,
        now: Millis,
    ) -> SuspectRecord {
        let min_crashes = if is_isolated { 1 } else { MIN_RECORDED_CRASHES };
        let entries = self.suspects.iter().filter(|(request, suspect)| {
            suspect.crash_count() >= min_crashes || stored.contains(**request)
        });
        let entry = |(request, suspect): (&Fingerprint, &Suspect)| SuspectEntry {
            request: *request,
            crash_groups: suspect.crash_groups.iter().map(|group| group.boxes.clone()).collect(),
            unrelated: suspect.unrelated.clone(),
            last_activity_ms: unix_ms.saturating_sub(now.since(suspect.last_activity).0),
            trials: suspect.trials,
            last_trial_ms: match suspect.last_trial {
                Millis(0) => 0,
                tried => unix_ms.saturating_sub(now.since(tried).0),
            },
        };
        SuspectRecord { requests: entries.map(entry).collect() }
    }
}
