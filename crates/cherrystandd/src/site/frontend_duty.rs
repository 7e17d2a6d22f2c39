//! The duty that accepts callers' requests and routes them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{LoadBalancer, Millis, ShutdownPlan};
use cherrystand_platform::serve_through;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::kernel::{Duty, DutyScope};
use crate::loop_idle_time::LoopIdleTime;
use crate::site::box_client::BoxClient;
use crate::site::caller_intake::CallerIntake;
use crate::site::cold_checking::check_cold_endpoints;
use crate::site::crash_watch::CrashWatch;
use crate::site::frontend::Frontend;
use crate::site::load_exchange::{LoadExchange, exchange_loads};
use crate::site::machine_gauge::MachineGauge;
use crate::site::pages::{self, serve_pages};
use crate::site::request_handler::handle;
use crate::{DutyContext, DutyError, StopPhase};

/// How long the end of the last answer to a peer may take to be written.
const CARRIED_FLUSH_TIME: Duration = Duration::from_millis(50);

inventory::submit! {
    Duty { name: "site-front", scope: DutyScope::Routes, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    let idle = LoopIdleTime::default();
    cx.run_measured(&idle, serve(&cx, idle.clone()))?
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DutyError> {
    TcpListener::bind(address).await.map_err(|source| DutyError::Listen { address, source })
}

/// Creates the intake of callers' connections, which measures the current thread.
fn caller_intake(
    cx: &DutyContext,
    frontend: &Frontend,
    idle: LoopIdleTime,
) -> Rc<CallerIntake<MachineGauge>> {
    let gauge = MachineGauge::new(
        cx.settings.limits.clone(),
        frontend.callers.clone(),
        frontend.boxes.clone(),
        frontend.buffer_budget.clone(),
        idle,
    );
    CallerIntake::new(cx.clone(), frontend.callers.clone(), gauge)
}

async fn serve(cx: &DutyContext, idle: LoopIdleTime) -> Result<(), DutyError> {
    let Some(site) = &cx.settings.site else {
        return Ok(());
    };
    let callers = listen(cx.settings.listen.callers).await?;
    let ready = listen(site.ready).await?;
    let operators = listen(cx.settings.listen.operators).await?;
    let balancer = Rc::new(RefCell::new(LoadBalancer::new(cx.settings.policy)));
    let loads = Rc::new(LoadExchange::new(site.retry_bounds()));
    let crashes = CrashWatch::new(cx.clone(), loads.clone());
    let exchange = exchange_loads(cx.clone(), balancer.clone(), loads.clone(), crashes.clone());
    tokio::task::spawn_local(exchange);
    let boxes = BoxClient::new(cx.clone());
    let checks = check_cold_endpoints(cx.clone(), balancer.clone(), loads.clone(), boxes.clone());
    tokio::task::spawn_local(checks);
    let frontend = Rc::new(Frontend::new(cx.clone(), balancer, loads, crashes, boxes));
    let grace = frontend.grace.clone();
    let (stop, stopped) = watch::channel(false);
    serve_pages(ready, cx.clone(), pages::readiness, stopped.clone());
    serve_pages(operators, cx.clone(), pages::operator_pages, stopped.clone());
    let intake = caller_intake(cx, &frontend, idle);
    let serving = serve_through(callers, intake, move |req| handle(frontend.clone(), req), stopped);
    let stopping = async {
        cx.wait_for_stop(StopPhase::Draining).await;
        log::info!("draining: not ready any more, finishing what is in flight");
        let plan = ShutdownPlan::new(Millis(site.grace_ms), Millis(cx.settings.stop.linger_ms));
        grace.begin(&plan);
        tokio::time::sleep(Duration::from_millis(plan.linger.0)).await;
        stop.send_replace(true);
        tokio::time::sleep(Duration::from_millis(plan.drain.0)).await;
        log::info!("closing: answering what has not finished");
        cx.close();
        tokio::time::sleep(Duration::from_millis(plan.closing.0)).await;
    };
    let finished = async {
        tokio::join!(serving, cx.wait_for_stop(StopPhase::Draining));
        // Nothing is carried anew from then on.
        cx.carried.none_left().await;
        tokio::time::sleep(CARRIED_FLUSH_TIME).await;
    };
    tokio::select! {
        _ = finished => {}
        () = stopping => {}
        () = cx.wait_for_stop(StopPhase::Stopped) => {}
    }
    cx.stop.send_replace(StopPhase::Stopped);
    Ok(())
}
