//! What the error of a call shows of the box that was called.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use cherrystand_core::ProbeFailure;
use cherrystand_platform::{CallError, SendError};

/// Guards against a box that is taken for dead because it resets connections beyond its limit.
#[test]
fn only_an_address_where_nothing_listens_refuses() {
    struct Case {
        error: CallError,
        failure: ProbeFailure,
    }
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let connect = |kind| SendError::Connect { address, source: Error::from(kind) }.into();
    let case = |error, failure| Case { error, failure };
    let cases = [
        case(connect(ErrorKind::ConnectionRefused), ProbeFailure::Refused),
        case(connect(ErrorKind::HostUnreachable), ProbeFailure::Refused),
        case(connect(ErrorKind::ConnectionReset), ProbeFailure::Cut),
        case(connect(ErrorKind::ConnectionAborted), ProbeFailure::Cut),
        case(SendError::ConnectTimedOut(address).into(), ProbeFailure::Unanswered),
        case(SendError::ForeignAnswer.into(), ProbeFailure::Cut),
        case(SendError::LostBehindCarrier.into(), ProbeFailure::Cut),
        case(CallError::TimedOut(Duration::from_millis(200)), ProbeFailure::Unanswered),
        case(CallError::AnswerInterrupted(String::new()), ProbeFailure::Cut),
    ];
    for Case { error, failure } in cases {
        assert_eq!(error.probe_failure(), failure, "{error:?}");
    }
}
