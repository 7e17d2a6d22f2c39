//! Pages that the node answers itself: readiness, metrics and the list of models.

use hyper::{Response, StatusCode};
use serde_json::json;

use crate::StopPhase;
use crate::relay::answer::{json as json_answer, plain_text};
use crate::relay::body::RelayBody;
use crate::relay::relay_state::{MAX_VIEW_AGE, Relay};
use crate::state::RouteKind;

/// Answers the load balancer whether the node accepts requests.
pub(crate) fn readiness(relay: &Relay) -> Response<RelayBody> {
    let view = relay.cx.current_view();
    let is_fresh = relay.now().since(view.made_at) <= MAX_VIEW_AGE;
    if relay.cx.stop_phase() > StopPhase::Running {
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if !is_fresh || !view.serve_by.may_serve() {
        let text = format!("not ready: {:?}\n", view.serve_by);
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    plain_text(StatusCode::OK, "ready\n")
}

/// Answers with all metrics in text form.
pub(crate) fn metrics(relay: &Relay) -> Response<RelayBody> {
    match relay.cx.metrics.render() {
        Ok(text) => plain_text(StatusCode::OK, text),
        Err(err) => plain_text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

/// Lists the models that are served.
pub(crate) fn models(relay: &Relay) -> Response<RelayBody> {
    let view = relay.cx.current_view();
    relay.core.borrow_mut().apply_routes(&view.routes, relay.now());
    let core = relay.core.borrow();
    let models = core.groups().filter_map(|group| match &group.kind {
        RouteKind::Model { model } => Some(json!({
            "id": model, "object": "model", "owned_by": group.id.workspace.as_str(),
        })),
        RouteKind::Service { .. } => None,
    });
    let model_list = json!({"object": "list", "data": models.collect::<Vec<_>>()});
    json_answer(StatusCode::OK, &model_list)
}
