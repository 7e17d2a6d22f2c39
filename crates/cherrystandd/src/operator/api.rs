//! The calls of operators, over HTTP with JSON.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{BoxesByReplica, Document, PlanId, ReplicaId, WorkspaceConfig};
use cherrystand_platform::PlatformClient;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::counting_client::CountingClient;
use crate::operator::status::explain_replica;
use crate::operator::{OperatorError, WorkspaceChange, status_of};
use crate::relay::{RelayBody, RequestLookup, plain_text};
use crate::state::{StateEvent, View};
use crate::{DutyContext, write_ids};

/// The largest configuration, in bytes; two have to fit into one record.
const MAX_CONFIG_BYTES: usize = 256 << 10;

/// How long a confirmation waits until a majority of the daemons has the change.
const MAJORITY_TIMEOUT: Duration = Duration::from_secs(12);

/// The header with the operator's name, for the history.
const OPERATOR_HEADER: &str = "cherrystand-operator";

/// Serves operators, on one thread.
pub(crate) struct OperatorApi {
    cx: DutyContext,
    platform: CountingClient<PlatformClient>,
}

impl OperatorApi {
    /// Creates the interface with its own client of the platform.
    pub(crate) fn new(cx: DutyContext) -> Self {
        let platform = CountingClient::new(&cx, "operators");
        Self { cx, platform }
    }

    async fn plan(&self, req: Request<Incoming>) -> Result<Value, OperatorError> {
        let body = Limited::new(req.into_body(), MAX_CONFIG_BYTES).collect().await;
        let body =
            body.map_err(|_| OperatorError::BadRequest("the configuration is cut or too large"))?;
        let text = String::from_utf8(body.to_bytes().to_vec())
            .map_err(|_| OperatorError::BadRequest("the configuration is not UTF-8 text"))?;
        let config = WorkspaceConfig::from_toml(&text)?;
        let view = self.cx.current_view();
        let current_boxes = view.formed_replicas().boxes();
        let change = self.workspace_change(&view, &current_boxes);
        let written = change.plan(config).await?;
        self.cx.send_to_state(StateEvent::Records(vec![written.record]));
        Ok(plan_summary(&written.result))
    }

    async fn confirm(&self, req: &Request<Incoming>, id: &str) -> Result<Value, OperatorError> {
        let operator = req.headers().get(OPERATOR_HEADER).and_then(|name| name.to_str().ok());
        let operator = operator.unwrap_or("unnamed");
        let view = self.cx.current_view();
        if !view.may_accept {
            let (reachable, total) = view.reachable_daemons;
            return Err(OperatorError::TooFewDaemons { reachable, total });
        }
        let current_boxes = view.formed_replicas().boxes();
        let change = self.workspace_change(&view, &current_boxes);
        let written = change.confirm(&PlanId::new(id), operator).await?;
        let accepted = written.result;
        let record = written.record;
        self.cx.send_to_state(StateEvent::Records(vec![record.clone()]));
        self.wait_for_majority(&record).await?;
        log::info!(
            generation = accepted.generation.0, plan = id, operator = operator;
            "a configuration was accepted"
        );
        Ok(json!(accepted))
    }

    fn workspace_change<'a>(
        &'a self,
        view: &'a View,
        current_boxes: &'a BoxesByReplica,
    ) -> WorkspaceChange<'a, CountingClient<PlatformClient>> {
        let write_id = write_ids::next_write_id(view);
        WorkspaceChange { store: &self.platform, write_id, fleet: &view.fleet, current_boxes }
    }

    /// Waits until a majority of the daemons has a record as it was written, or a newer one.
    ///
    /// From then on no daemon serves by the old record for long, whatever fails: one that has
    /// contact neither with the platform nor with a majority stops serving.
    async fn wait_for_majority(&self, record: &Document) -> Result<(), OperatorError> {
        let holds = |view: &Arc<View>| {
            let stored = view.workspaces.get(&record.key);
            let is_current = stored.is_some_and(|stored| stored.revision >= record.revision);
            is_current && view.majority_agrees
        };
        let mut view = self.cx.view.clone();
        let reached = tokio::time::timeout(MAJORITY_TIMEOUT, view.wait_for(holds)).await;
        match reached {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(OperatorError::OutcomeUnknown),
        }
    }

    fn plans(&self) -> Value {
        let view = self.cx.current_view();
        let records = view.workspaces.values().map(|versioned| &versioned.record);
        let pending = records.flat_map(|record| record.plans.iter().map(plan_summary));
        json!(pending.collect::<Vec<_>>())
    }

    fn history(&self) -> Value {
        let view = self.cx.current_view();
        let records = view.workspaces.values().map(|versioned| &versioned.record);
        let entries = records.flat_map(|record| {
            let workspace = &record.config.workspace;
            let entry = move |accepted| json!({"workspace": workspace, "accepted": accepted});
            record.history.iter().map(entry)
        });
        json!(entries.collect::<Vec<_>>())
    }

    fn config(&self, workspace: &str) -> Result<Value, OperatorError> {
        let view = self.cx.current_view();
        let mut records = view.workspaces.values().map(|versioned| &versioned.record);
        let found = records.find(|record| record.config.workspace.as_str() == workspace);
        let found = found.ok_or_else(|| unknown("workspace", workspace))?;
        Ok(json!({"generation": found.generation, "config": found.config}))
    }

    async fn explain(&self, name: &str) -> Result<Value, OperatorError> {
        if let Ok(replica) = ReplicaId::try_from(name.to_owned())
            && let Some(explanation) = explain_replica(&self.cx.current_view(), &replica)
        {
            return Ok(explanation);
        }
        let (reply, record) = oneshot::channel();
        let lookup = RequestLookup { request: name.to_owned(), reply };
        if self.cx.lookups.try_send(lookup).is_err() {
            self.cx.metrics.ring_full.with_label_values(&["notes"]).inc();
        }
        let record = record.await.ok().flatten();
        record.map(|record| json!(record)).ok_or_else(|| unknown("replica or request", name))
    }

    fn drain(&self) -> Value {
        self.cx.drain();
        json!({"node": self.cx.settings.node, "draining": true})
    }
}

fn unknown(what: &'static str, name: &str) -> OperatorError {
    OperatorError::Unknown { what, name: name.to_owned() }
}

fn plan_summary(plan: &cherrystand_core::Plan) -> Value {
    let changes: Vec<String> = plan.changes.iter().map(ToString::to_string).collect();
    json!({
        "id": plan.id, "workspace": plan.config.workspace, "base": plan.base,
        "changes": changes, "costs": plan.costs,
    })
}

/// Answers a call of an operator.
pub(crate) async fn handle(
    operators: Rc<OperatorApi>,
    req: Request<Incoming>,
) -> Response<RelayBody> {
    let path = req.uri().path().to_owned();
    let route = path.strip_prefix("/operator/").unwrap_or_default();
    let (call, name) = route.split_once('/').unwrap_or((route, ""));
    let outcome = match (req.method(), call) {
        (&Method::POST, "plan") => operators.plan(req).await,
        (&Method::POST, "confirm") => operators.confirm(&req, name).await,
        (&Method::POST, "drain") => Ok(operators.drain()),
        (&Method::GET, "plans") => Ok(operators.plans()),
        (&Method::GET, "history") => Ok(operators.history()),
        (&Method::GET, "status") => Ok(status_of(&operators.cx.current_view())),
        (&Method::GET, "config") => operators.config(name),
        (&Method::GET, "explain") => operators.explain(name).await,
        _ => Err(unknown("call", &path)),
    };
    match outcome {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(err) => json_response(err.status(), &err.body()),
    }
}

fn json_response(status: StatusCode, value: &Value) -> Response<RelayBody> {
    let mut response = plain_text(status, value.to_string());
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
