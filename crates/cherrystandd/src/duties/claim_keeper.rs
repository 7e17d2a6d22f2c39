//! The duty that writes claims on calls into the platform's service, many at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use cherrystand_core::{
    CLAIM_USE_WITHIN, CallKey, ClaimAnswer, ClaimRecord, ClaimRequest, Millis, Revision, WriteId,
};
use cherrystand_platform::{KeyValue, PlatformClient, PlatformError, Swap};

use crate::claims::ClaimCall;
use crate::kernel::Duty;
use crate::{DutyContext, DutyError, StopPhase, clock, keys, writer};

/// How long calls gather before they are written together.
const GATHER: Duration = Duration::from_millis(15);

/// How long the duty keeps trying to write one batch.
const GIVE_UP_AFTER: Millis = Millis(CLAIM_USE_WITHIN.0 / 2);

/// How long it pauses before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

inventory::submit! {
    Duty { name: "claims", run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    cx.run_local(keep(&cx))
}

async fn keep(cx: &DutyContext) {
    let mut shards: BTreeMap<u64, async_channel::Sender<ClaimCall>> = BTreeMap::new();
    loop {
        let call = tokio::select! {
            call = cx.claim_calls.recv() => call,
            () = cx.stopping(StopPhase::Stopped) => return,
        };
        let Ok(call) = call else {
            return;
        };
        let shard = key_of(&call.request).shard();
        let tx = shards
            .entry(shard)
            .or_insert_with(|| start_shard(cx, shard));
        if tx.try_send(call).is_err() {
            cx.metrics
                .ring_full
                .with_label_values(&["claim-shard"])
                .inc();
        }
    }
}

fn key_of(request: &ClaimRequest) -> CallKey {
    match request {
        ClaimRequest::Take(key) | ClaimRequest::GiveUp(key) | ClaimRequest::Settle(key, _) => *key,
    }
}

fn start_shard(cx: &DutyContext, shard: u64) -> async_channel::Sender<ClaimCall> {
    let (tx, rx) = async_channel::bounded(crate::duty_context::RING_SLOTS);
    let keeper = ShardKeeper {
        cx: cx.clone(),
        platform: PlatformClient::new(cx.settings.platform.address),
        key: keys::claims(shard),
        revision: Revision(0),
        record: ClaimRecord::default(),
    };
    tokio::task::spawn_local(keeper.run(rx));
    tx
}

/// Keeps the claims of one shard, as last read or written.
struct ShardKeeper {
    cx: DutyContext,
    platform: PlatformClient,
    key: String,
    revision: Revision,
    record: ClaimRecord,
}

impl ShardKeeper {
    async fn run(mut self, calls: async_channel::Receiver<ClaimCall>) {
        while let Ok(first) = calls.recv().await {
            tokio::time::sleep(GATHER).await;
            let mut batch = vec![first];
            while let Ok(call) = calls.try_recv() {
                batch.push(call);
            }
            let requests: Vec<ClaimRequest> =
                batch.iter().map(|call| call.request.clone()).collect();
            // Where the batch could not be written, dropping the channels tells the askers.
            if let Some(answers) = self.write(&requests).await {
                self.answer(batch, answers);
            }
        }
    }

    fn answer(&self, batch: Vec<ClaimCall>, answers: Vec<ClaimAnswer>) {
        for (call, answer) in batch.into_iter().zip(answers) {
            let label = match answer {
                ClaimAnswer::Granted => "granted",
                ClaimAnswer::Taken(_) => "taken",
                ClaimAnswer::Full => "full",
                ClaimAnswer::Noted => "noted",
            };
            self.cx.metrics.claims.with_label_values(&[label]).inc();
            if let Some(tx) = call.answer {
                // An asker that left holds a claim that nobody uses; it answers `unknown`.
                let _ = tx.send(answer);
            }
        }
    }

    /// Writes a batch under one identity until it stands or time is up.
    ///
    /// A write whose answer was lost is tried again at the revision that it was made for, so
    /// that only one of the two can take effect, and is found by its identity where it did.
    async fn write(&mut self, requests: &[ClaimRequest]) -> Option<Vec<ClaimAnswer>> {
        let id = writer::next_write(&self.cx.view_now());
        let began = self.cx.clock.now();
        let mut made: Option<(ClaimRecord, Vec<ClaimAnswer>)> = None;
        while self.cx.clock.now().since(began) < GIVE_UP_AFTER {
            let (next, answers) = made
                .take()
                .unwrap_or_else(|| self.record.apply(requests, &id, clock::unix_secs()));
            match self.swap(&next).await {
                Ok(Swap::Done(revision)) => {
                    self.revision = revision;
                    self.record = next;
                    return Some(answers);
                }
                Ok(Swap::Conflict(_)) => {
                    if self.read_back(&id).await {
                        return Some(answers);
                    }
                }
                Err(PlatformError::NoAnswer(_)) => made = Some((next, answers)),
                Err(_) => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    async fn swap(&self, next: &ClaimRecord) -> Result<Swap, PlatformError> {
        let body = serde_json::to_string(next).map_err(|err| {
            PlatformError::NoAnswer(cherrystand_platform::CallError::Malformed(err))
        })?;
        let outcome = self.platform.swap(&self.key, self.revision, &body).await;
        self.count(outcome.is_ok());
        outcome
    }

    /// Reads the record as it is, and tells whether the write `id` is in it.
    async fn read_back(&mut self, id: &WriteId) -> bool {
        let read = self.platform.get(&self.key).await;
        self.count(read.is_ok());
        let Ok(Some(document)) = read else {
            return false;
        };
        match serde_json::from_str::<ClaimRecord>(&document.body) {
            Ok(record) => {
                let found = record.writes.contains(id);
                self.revision = document.revision;
                self.record = record;
                found
            }
            Err(err) => {
                log::error!(key = self.key.as_str(); "a claim record is malformed: {err}");
                false
            }
        }
    }

    fn count(&self, done: bool) {
        let result = if done { "done" } else { "failed" };
        self.cx
            .metrics
            .platform_calls
            .with_label_values(&["claims", result])
            .inc();
    }
}
