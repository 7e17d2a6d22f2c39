//! Changes to a workspace's record.

use std::sync::Arc;

use cherrystand_core::{
    AcceptedChange, BoxesByReplica, Document, Fleet, Plan, PlanId, Revision, WorkspaceConfig,
    WorkspaceId, WorkspaceRecord, WriteId, hash_bytes, make_plan,
};
use cherrystand_platform::{KeyValue, PlatformError, Swap};

use crate::operator::OperatorError;
use crate::{clock, keys};

/// How often each step of a change is tried, against concurrent changes and failed calls.
const MAX_ATTEMPTS: u32 = 8;

/// Plans and confirms changes to the records in a key-value store.
pub struct WorkspaceChange<'a, K> {
    /// The store.
    pub store: &'a K,
    /// The id of the write, by which the record shows whether it took effect.
    pub write_id: WriteId,
    /// The boxes in the inventory.
    pub fleet: &'a Fleet,
    /// The boxes that replicas hold now.
    pub current_boxes: &'a BoxesByReplica,
}

/// A record that was written, and the result for the operator.
pub struct Written<T> {
    /// The result for the operator.
    pub result: T,
    /// The record as written.
    pub record: Document,
}

/// The result of one attempt to write.
enum WriteStatus {
    Done(Revision),
    Retry,
}

impl<K: KeyValue> WorkspaceChange<'_, K> {
    /// Makes a plan and stores it as pending.
    pub async fn plan(&self, config: WorkspaceConfig) -> Result<Written<Plan>, OperatorError> {
        let workspace = config.workspace.clone();
        let id = self.plan_id(&workspace);
        for _ in 0..MAX_ATTEMPTS {
            let (revision, record) = self.read(&workspace).await?;
            let plan =
                make_plan(id.clone(), &record, config.clone(), self.fleet, self.current_boxes)?;
            let next = record.with_plan(plan.clone(), self.write_id.clone());
            if let Some(record) = self.write(&workspace, revision, &next).await? {
                return Ok(Written { result: plan, record });
            }
        }
        Err(OperatorError::Contended(workspace))
    }

    /// Activates a pending plan.
    pub async fn confirm(
        &self,
        id: &PlanId,
        operator: &str,
    ) -> Result<Written<AcceptedChange>, OperatorError> {
        let workspace = workspace_of(id)?;
        for _ in 0..MAX_ATTEMPTS {
            let (revision, record) = self.read(&workspace).await?;
            let now = clock::unix_secs();
            let next = record.confirm(id, operator, now, self.write_id.clone())?;
            let accepted = next.history.last().cloned();
            let written = self.write(&workspace, revision, &next).await?;
            if let (Some(record), Some(result)) = (written, accepted) {
                return Ok(Written { result, record });
            }
        }
        Err(OperatorError::Contended(workspace))
    }

    fn plan_id(&self, workspace: &WorkspaceId) -> PlanId {
        let write_id = &self.write_id;
        let seed = format!("{}/{}/{}", write_id.node, write_id.incarnation, write_id.sequence);
        PlanId::new(format!("{workspace}.{:08x}", hash_bytes(seed.as_bytes()) as u32))
    }

    async fn read(
        &self,
        workspace: &WorkspaceId,
    ) -> Result<(Revision, WorkspaceRecord), OperatorError> {
        let read = self.store.get(&keys::workspace(workspace)).await?;
        let Some(document) = read else {
            return Ok((Revision::NONE, WorkspaceRecord::empty(workspace.clone())));
        };
        let record = serde_json::from_str(&document.body)
            .map_err(|_| OperatorError::Malformed(workspace.clone()))?;
        Ok((document.revision, record))
    }

    /// Writes a record; returns `None` if it was changed concurrently.
    async fn write(
        &self,
        workspace: &WorkspaceId,
        expected: Revision,
        next: &WorkspaceRecord,
    ) -> Result<Option<Document>, OperatorError> {
        let key = keys::workspace(workspace);
        let body =
            serde_json::to_string(next).map_err(|_| OperatorError::Malformed(workspace.clone()))?;
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self.store.swap(&key, expected, &body).await;
            match self.resolve_write(workspace, outcome).await? {
                Some(WriteStatus::Done(revision)) => {
                    let body = Arc::from(body);
                    return Ok(Some(Document { key: Arc::from(key), revision, body }));
                }
                Some(WriteStatus::Retry) => {}
                None => return Ok(None),
            }
        }
        Err(OperatorError::OutcomeUnknown)
    }

    /// Determines whether a write took effect, by reading the record if the answer leaves it open.
    ///
    /// A write whose answer was lost may still take effect later. It is therefore retried against
    /// the same revision, so that at most one of the two takes effect.
    async fn resolve_write(
        &self,
        workspace: &WorkspaceId,
        outcome: Result<Swap, PlatformError>,
    ) -> Result<Option<WriteStatus>, OperatorError> {
        match outcome {
            Ok(Swap::Done(revision)) => Ok(Some(WriteStatus::Done(revision))),
            Ok(Swap::Conflict(_)) => {
                let (revision, record) = self.read_with_retries(workspace).await?;
                let is_ours = record.writes.contains(&self.write_id);
                Ok(is_ours.then_some(WriteStatus::Done(revision)))
            }
            Err(PlatformError::NoAnswer(_) | PlatformError::RateLimited) => {
                Ok(Some(WriteStatus::Retry))
            }
            Err(err) => Err(err.into()),
        }
    }

    /// Reads the record after a write that may have taken effect, retrying if the platform fails.
    async fn read_with_retries(
        &self,
        workspace: &WorkspaceId,
    ) -> Result<(Revision, WorkspaceRecord), OperatorError> {
        for _ in 0..MAX_ATTEMPTS {
            match self.read(workspace).await {
                Err(OperatorError::Platform(_)) => {}
                other => return other,
            }
        }
        Err(OperatorError::OutcomeUnknown)
    }
}

fn workspace_of(id: &PlanId) -> Result<WorkspaceId, OperatorError> {
    let parts = id.as_str().rsplit_once('.');
    let workspace = parts.map(|(workspace, _)| WorkspaceId::new(workspace));
    workspace.ok_or_else(|| OperatorError::Unknown { what: "plan", name: id.to_string() })
}
