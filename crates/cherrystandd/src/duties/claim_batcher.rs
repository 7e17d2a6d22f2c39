//! The duty that writes claims of idempotency keys to the platform's store, in batches.

use std::collections::BTreeMap;
use std::time::Duration;

use cherrystand_core::{ClaimRequest, ClaimResponse, IdempotencyKey};
use cherrystand_platform::PlatformClient;

use crate::claim_writer::ClaimWriter;
use crate::claims::ClaimMessage;
use crate::counting_client::CountingClient;
use crate::kernel::{Duty, DutyScope};
use crate::{DutyContext, DutyError, StopPhase, keys, write_ids};

/// How long calls are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(15);

inventory::submit! {
    Duty { name: "claims", scope: DutyScope::Workspaces, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    cx.run_local(dispatch_calls(&cx))
}

async fn dispatch_calls(cx: &DutyContext) {
    let mut shards: BTreeMap<u64, async_channel::Sender<ClaimMessage>> = BTreeMap::new();
    loop {
        let call = tokio::select! {
            call = cx.claim_messages.recv() => call,
            () = cx.wait_for_stop(StopPhase::Stopped) => return,
        };
        let Ok(call) = call else {
            return;
        };
        let shard = key_of(&call.request).shard();
        let tx = shards.entry(shard).or_insert_with(|| start_shard(cx, shard));
        if tx.try_send(call).is_err() {
            cx.metrics.ring_full.with_label_values(&["claim-shard"]).inc();
        }
    }
}

fn key_of(request: &ClaimRequest) -> IdempotencyKey {
    match request {
        ClaimRequest::Acquire(key)
        | ClaimRequest::Release(key)
        | ClaimRequest::Complete(key, _) => *key,
    }
}

fn start_shard(cx: &DutyContext, shard: u64) -> async_channel::Sender<ClaimMessage> {
    let (tx, rx) = async_channel::bounded(crate::duty_context::CHANNEL_CAPACITY);
    let service = CountingClient::new(cx, "claims");
    let writer = ClaimWriter::new(service, keys::claims(shard));
    let shard_writer = ShardWriter { cx: cx.clone(), writer };
    tokio::task::spawn_local(shard_writer.run(rx));
    tx
}

/// Writes the calls of one shard in batches.
struct ShardWriter {
    cx: DutyContext,
    writer: ClaimWriter<CountingClient<PlatformClient>>,
}

impl ShardWriter {
    async fn run(mut self, calls: async_channel::Receiver<ClaimMessage>) {
        while let Ok(first) = calls.recv().await {
            tokio::time::sleep(BATCH_DELAY).await;
            let mut batch = vec![first];
            while let Ok(call) = calls.try_recv() {
                batch.push(call);
            }
            let requests: Vec<ClaimRequest> =
                batch.iter().map(|call| call.request.clone()).collect();
            let id = write_ids::next_write_id(&self.cx.current_view());
            // If it is unknown whether the batch was written, its channels are dropped, and callers
            // see that no answer comes.
            if let Some(answers) = self.writer.write(&requests, &id).await {
                self.answer(batch, answers);
            }
        }
    }

    fn answer(&self, batch: Vec<ClaimMessage>, answers: Vec<ClaimResponse>) {
        for (call, answer) in batch.into_iter().zip(answers) {
            let label = match answer {
                ClaimResponse::Granted => "granted",
                ClaimResponse::AlreadyClaimed(_) => "taken",
                ClaimResponse::ShardFull => "full",
                ClaimResponse::Recorded => "noted",
            };
            self.cx.metrics.claims.with_label_values(&[label]).inc();
            if let Some(tx) = call.answer {
                // If the caller left, its claim stays unused, and a later call with the key is
                // answered with `unknown`.
                let _ = tx.send(answer);
            }
        }
    }
}
