//! The duty that serves callers.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_platform::serve_http;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::kernel::{Duty, DutyScope};
use crate::relay::{Relay, RequestLookup, handle};
use crate::{DutyContext, DutyError, StopPhase};

/// How long the other duties run on after the last request, to write the outcomes of claimed calls.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

inventory::submit! {
    Duty { name: "relay", scope: DutyScope::Workspaces, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    cx.run_local(serve(&cx))?
}

async fn serve(cx: &DutyContext) -> Result<(), DutyError> {
    let address = cx.settings.listen.callers;
    let listener =
        TcpListener::bind(address).await.map_err(|source| DutyError::Listen { address, source })?;
    let relay = Rc::new(Relay::new(cx.clone()));
    tokio::task::spawn_local(answer_lookups(cx.clone(), relay.clone()));
    let (stop, stopped) = watch::channel(false);
    let serving = serve_http(listener, move |req| handle(relay.clone(), req), stopped);
    let stopping = async {
        cx.wait_for_stop(StopPhase::Draining).await;
        log::info!("draining: not ready any more, finishing what is in flight");
        tokio::time::sleep(Duration::from_millis(cx.settings.stop.linger_ms)).await;
        stop.send_replace(true);
    };
    tokio::select! {
        _ = async { tokio::join!(serving, stopping) } => {}
        () = cx.wait_for_stop(StopPhase::Stopped) => return Ok(()),
    }
    tokio::time::sleep(FLUSH_DELAY).await;
    cx.stop.send_replace(StopPhase::Stopped);
    Ok(())
}

async fn answer_lookups(cx: DutyContext, relay: Rc<Relay>) {
    while let Ok(RequestLookup { request, reply }) = cx.lookup_messages.recv().await {
        let record = relay.history.borrow().find(&request).cloned();
        // The operator may have disconnected.
        let _ = reply.send(record);
    }
}
