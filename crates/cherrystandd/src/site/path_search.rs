//! Searches for a peer that reaches a box.

use cherrystand_core::{BoxId, Millis, PathSearch, SearchResult};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::DutyContext;
use crate::site::carrier_client::CarrierClient;

/// The time after which the next round of peers is asked, if nobody has reached the box.
const ROUND_INTERVAL: Millis = Millis(20);

/// How long a search takes at most.
const SEARCH_TIMEOUT: Millis = Millis(300);

/// Asks peers in rounds until one reaches the box, enough of them miss it, or the time is over.
pub(super) async fn search_carriers(
    cx: &DutyContext,
    carriers: &CarrierClient,
    id: &BoxId,
) -> SearchResult {
    let mut search = PathSearch::default();
    let mut asked = FuturesUnordered::new();
    let end = cx.clock.now() + SEARCH_TIMEOUT;
    let mut next_round = cx.clock.now();
    loop {
        if cx.clock.now() >= next_round {
            let peers = carriers.next_round(id, &mut search);
            next_round = if peers.is_empty() { end } else { cx.clock.now() + ROUND_INTERVAL };
            asked
                .extend(peers.into_iter().map(|peer| async move { carriers.ask(&peer, id).await }));
        }
        if asked.is_empty() && next_round >= end {
            return search.finish();
        }
        let reported = cx.clock.timeout_at(next_round.min(end), next_report(&mut asked)).await;
        if let Some(result) = reported.and_then(|report| search.record(report)) {
            return result;
        }
        if cx.clock.now() >= end {
            return search.finish();
        }
    }
}

/// Waits for the next report; without open questions it never returns.
async fn next_report<F: Future>(asked: &mut FuturesUnordered<F>) -> F::Output {
    match asked.next().await {
        Some(report) => report,
        None => std::future::pending().await,
    }
}
