//! The listener for peers, which hands each request on by its path and headers.

use std::rc::Rc;

use bytes::Bytes;
use cherrystand_peer::REACH_PATH;
use cherrystand_platform::{AnswerNames, CallIds, echo_call_id, serve_http};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::site::Driver;
use crate::site::carrying::{CarriedBody, answer_reach, carry, carry_failure, carry_target};
use crate::site::change_sharing::answer_changes;
use crate::site::control::Control;

/// Serves peers until the duty stops.
pub(crate) async fn serve_peers(control: Rc<Control>, listener: TcpListener) {
    let (_running, stop) = watch::channel(false);
    let handle = move |req| handle_request(control.clone(), req);
    serve_http(listener, handle, stop).await;
}

/// The body of an answer to a peer: this daemon's own, or that of a box.
type PeerBody = Either<Full<Bytes>, CarriedBody>;

async fn handle_request(control: Rc<Control>, req: Request<Incoming>) -> Response<PeerBody> {
    if let Some(target) = carry_target(req.headers()) {
        let name = Driver::request_name(req.headers());
        return match carry(&control, req, &target).await {
            Ok(answer) => answer.map(Either::Right),
            Err(end) => carry_failure(end, name.as_ref()).map(Either::Left),
        };
    }
    let id = CallIds::request_name(req.headers());
    let result = match req.uri().path() {
        REACH_PATH => answer_reach(&control, req).await,
        _ => answer_changes(&control, req).await,
    };
    let answer = match result {
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(status) => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = status;
            response
        }
    };
    echo_call_id(id, answer).map(Either::Left)
}
