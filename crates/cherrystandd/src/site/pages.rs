//! HTTP pages that the daemon serves itself.

use cherrystand_platform::{CallerBody, SiteDriver, serve_http};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::site::Driver;
use crate::{DutyContext, StopPhase};

/// Serves one kind of page on a listener of its own.
pub(super) fn serve_pages(
    listener: TcpListener,
    cx: DutyContext,
    page: fn(&DutyContext, &Request<Incoming>) -> Response<CallerBody>,
    stopped: watch::Receiver<bool>,
) {
    let handle = move |req: Request<Incoming>| std::future::ready(page(&cx, &req));
    tokio::task::spawn_local(serve_http(listener, handle, stopped));
}

/// Reports to the load balancer whether this node takes requests.
pub(super) fn readiness(cx: &DutyContext, req: &Request<Incoming>) -> Response<CallerBody> {
    let view = cx.site.borrow();
    let running = cx.stop_phase() == StopPhase::Running;
    let ready = running && view.routes.is_some() && view.boxes_listed;
    let status = match req.uri().path() {
        Driver::READY_PATH if ready => StatusCode::OK,
        Driver::READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    empty_response(status)
}

/// Lists the evacuated zones and the cold endpoints that this daemon knows of, for operators.
fn zones_json(cx: &DutyContext) -> Value {
    let (view, now) = (cx.site.borrow(), cx.clock.now());
    let evacuated = view.evacuated.iter().map(|(zone, since)| {
        let boxes = view.boxes.values().filter(|site_box| &site_box.zone == zone).count();
        let secs = now.since(*since).as_secs_f64();
        json!({"zone": zone.as_str(), "known_for_secs": secs, "boxes": boxes})
    });
    let cold = view.cold.iter().filter_map(|(id, until)| {
        let site_box = view.boxes.get(id)?;
        let table = view.routes.as_ref()?;
        let cold = table.config().service(&site_box.service)?.cold?;
        let left = until.since(now).as_secs_f64();
        let (zone, rate) = (site_box.zone.as_str(), cold.rate.as_f64());
        Some(json!({"box": id.as_str(), "zone": zone, "left_secs": left, "per_second": rate}))
    });
    let evacuated: Vec<Value> = evacuated.collect();
    json!({"evacuated": evacuated, "cold": cold.collect::<Vec<_>>()})
}

/// Serves the operators' pages: liveness, zones and metrics.
pub(super) fn operator_pages(cx: &DutyContext, req: &Request<Incoming>) -> Response<CallerBody> {
    match req.uri().path() {
        "/livez" => empty_response(StatusCode::OK),
        "/operator/zones" => Response::new(CallerBody::whole(zones_json(cx).to_string())),
        "/metrics" => match cx.metrics.render() {
            Ok(text) => Response::new(CallerBody::whole(text)),
            Err(err) => {
                log::error!("metrics cannot be rendered: {err}");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Returns a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::whole(""));
    *response.status_mut() = status;
    response
}
