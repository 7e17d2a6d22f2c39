//! Reading and routing of a caller's request.

use std::cell::RefCell;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cherrystand_core::{
    AttemptEnd, Class, GroupId, GroupKey, IdempotencyKey, Millis, RefusalReason, WorkspaceId,
    hash_bytes,
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::relay::core::{GroupState, RelayCore, Target};
use crate::relay::headers;
use crate::state::RouteKind;
use crate::{DutyContext, Settings};

/// How many bytes of a prompt identify its prefix, by which requests are routed to the same
/// replica.
const PROMPT_PREFIX_BYTES: usize = 512;

/// How much of the rest of a refused body is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// For how long the rest of a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// The paths of requests to models.
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// A request that has been read and routed to a group.
pub(crate) struct Call {
    /// The request's id.
    pub(crate) id: String,
    /// The request's method, path and headers.
    pub(crate) head: Parts,
    /// The request's whole body.
    pub(crate) body: Bytes,
    /// The group that it is routed to.
    pub(crate) group: GroupKey,
    /// That group's id.
    pub(crate) group_id: GroupId,
    /// The workspace whose share of the node it uses.
    pub(crate) workspace: WorkspaceId,
    /// Its class.
    pub(crate) class: Class,
    /// Whether it goes to a model.
    pub(crate) is_model: bool,
    /// Whether it may be run more than once.
    pub(crate) is_idempotent: bool,
    /// Its idempotency key, if the caller set one.
    pub(crate) key: Option<IdempotencyKey>,
    /// The hash of its prompt's prefix, if it goes to a model.
    pub(crate) prefix: Option<u64>,
    /// When the caller stops waiting.
    pub(crate) deadline: Millis,
    /// The endpoint and the end of each attempt so far.
    pub(crate) attempts: RefCell<Vec<(String, String)>>,
}

impl Call {
    /// Records how an attempt ended.
    pub(crate) fn record_attempt(&self, target: &Target, end: AttemptEnd) {
        let endpoint = match &target.replica {
            Some((replica, epoch)) => format!("{replica}@{epoch} at {}", target.address),
            None => target.address.to_string(),
        };
        self.attempts.borrow_mut().push((endpoint, end.as_str().to_owned()));
    }
}

#[derive(Deserialize)]
struct ModelRequest<'a> {
    model: String,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
}

/// Reads a whole request and finds its group.
pub(crate) async fn read_call(
    cx: &DutyContext,
    core: &RefCell<RelayCore>,
    req: Request<Incoming>,
    id: String,
) -> Result<Call, RefusalReason> {
    let arrived_at = cx.clock.now();
    let (head, body) = req.into_parts();
    let key =
        headers::read_name(&head.headers, &headers::IDEMPOTENCY_KEY).map_err(invalid_header)?;
    let requested_timeout = headers::read_deadline(&head.headers).map_err(invalid_header)?;
    let body = read_body(body, cx.settings.limits.body_bytes).await?;
    let core = core.borrow();
    let (group, prefix) = find_group(&core, &head, &body)?;
    let state = core.group(group).ok_or(RefusalReason::UnknownTarget)?;
    let is_model = matches!(state.kind, RouteKind::Model { .. });
    let deadline =
        arrived_at + requested_timeout.unwrap_or(default_deadline(&cx.settings, is_model));
    Ok(Call {
        is_idempotent: key.is_none() && is_idempotent(state, &head.method),
        key: key.map(|key| IdempotencyKey::new(&state.id, &key)),
        group_id: state.id.clone(),
        workspace: state.id.workspace.clone(),
        class: state.class,
        is_model,
        id,
        head,
        body,
        group,
        prefix,
        deadline,
        attempts: RefCell::default(),
    })
}

fn invalid_header(_: headers::InvalidHeader) -> RefusalReason {
    RefusalReason::BadRequest
}

fn default_deadline(settings: &Settings, is_model: bool) -> Millis {
    let limits = &settings.limits;
    Millis(if is_model { limits.model_deadline_ms } else { limits.service_deadline_ms })
}

/// Reads a whole body of at most `max_bytes`.
async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, RefusalReason> {
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced_bytes > max_bytes {
        tokio::task::spawn_local(discard_body(body));
        return Err(RefusalReason::TooLarge);
    }
    let mut read = BytesMut::with_capacity(announced_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RefusalReason::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > max_bytes {
            tokio::task::spawn_local(discard_body(body));
            return Err(RefusalReason::TooLarge);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

/// Reads the rest of a refused body for a while.
///
/// The refusal is sent at once. If the connection were closed with unread bytes, it would be reset
/// and the caller might never receive the refusal.
async fn discard_body(mut body: Incoming) {
    let read = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            remaining = remaining.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if remaining == 0 {
                return;
            }
        }
    };
    // By the timeout the caller has long received the refusal.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

fn find_group(
    core: &RelayCore,
    head: &Parts,
    body: &[u8],
) -> Result<(GroupKey, Option<u64>), RefusalReason> {
    let path = head.uri.path();
    if !MODEL_PATHS.contains(&path) {
        let group = core.find_service(path).ok_or(RefusalReason::UnknownTarget)?;
        return Ok((group, None));
    }
    if head.method != Method::POST {
        return Err(RefusalReason::BadRequest);
    }
    let call: ModelRequest<'_> =
        serde_json::from_slice(body).map_err(|_| RefusalReason::BadRequest)?;
    let text = call.messages.or(call.prompt).ok_or(RefusalReason::BadRequest)?.get();
    let prefix = hash_bytes(&text.as_bytes()[..text.len().min(PROMPT_PREFIX_BYTES)]);
    let group = core.find_model(&call.model).ok_or(RefusalReason::UnknownTarget)?;
    Ok((group, Some(prefix)))
}

/// Returns whether a call without an idempotency key may be run more than once.
///
/// Calls to models have no side effects. For services it depends on whether HTTP defines the method
/// as idempotent, except for the methods that the configuration lists as not repeatable.
fn is_idempotent(group: &GroupState, method: &Method) -> bool {
    match &group.kind {
        RouteKind::Model { .. } => true,
        RouteKind::Service { not_repeatable, .. } => {
            let listed =
                not_repeatable.iter().any(|name| name.eq_ignore_ascii_case(method.as_str()));
            method.is_idempotent() && !listed
        }
    }
}
