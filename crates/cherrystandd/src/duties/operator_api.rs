//! The duty that serves operators.

use std::rc::Rc;

use cherrystand_platform::serve_calls;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::kernel::{Duty, DutyScope};
use crate::operator::{OperatorApi, handle};
use crate::{DutyContext, DutyError, StopPhase};

inventory::submit! {
    Duty { name: "operator-api", scope: DutyScope::Workspaces, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    cx.run_local(serve(&cx))?
}

async fn serve(cx: &DutyContext) -> Result<(), DutyError> {
    let address = cx.settings.listen.operators;
    let listener =
        TcpListener::bind(address).await.map_err(|source| DutyError::Listen { address, source })?;
    let operators = Rc::new(OperatorApi::new(cx.clone()));
    // Operators' calls are short, so a stop aborts them instead of waiting for them.
    let (_stop, stopped) = watch::channel(false);
    let serving = serve_calls(listener, move |req| handle(operators.clone(), req), stopped);
    tokio::select! {
        () = serving => {}
        () = cx.wait_for_stop(StopPhase::Stopped) => {}
    }
    Ok(())
}
