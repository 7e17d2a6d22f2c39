//! Changes of a workspace's record.

use std::sync::Arc;

use cherrystand_core::{
    AcceptedChange, BoxesByReplica, Document, Fleet, Plan, PlanId, Revision, WorkspaceConfig,
    WorkspaceId, WorkspaceRecord, WriteId, hash_bytes, make_plan,
};
use cherrystand_platform::{KeyValue, PlatformError, Swap};

use crate::operator::OperatorError;
use crate::{clock, keys};

/// How often a change is tried against others who change the same record.
const TRIES: u32 = 8;

/// Plans and confirms changes through a key-value service.
pub struct WorkspaceChange<'a, K> {
    /// The service.
    pub service: &'a K,
    /// The identity of the write to make.
    pub write: WriteId,
    /// The listed boxes.
    pub fleet: &'a Fleet,
    /// The boxes held now.
    pub held: &'a BoxesByReplica,
}

/// A record that was written, and what it was written for.
pub struct Written<T> {
    /// What the operator is told.
    pub told: T,
    /// The record as it now stands.
    pub record: Document,
}

/// What became of one try to write.
enum Try {
    Done(Revision),
    Again,
}

impl<K: KeyValue> WorkspaceChange<'_, K> {
    /// Makes a plan and leaves it pending.
    pub async fn plan(&self, config: WorkspaceConfig) -> Result<Written<Plan>, OperatorError> {
        let workspace = config.workspace.clone();
        let id = self.plan_id(&workspace);
        for _ in 0..TRIES {
            let (revision, record) = self.read(&workspace).await?;
            let plan = make_plan(id.clone(), &record, config.clone(), self.fleet, self.held)?;
            let next = record.with_plan(plan.clone(), self.write.clone());
            if let Some(record) = self.write(&workspace, revision, &next).await? {
                return Ok(Written { told: plan, record });
            }
        }
        Err(OperatorError::Contended(workspace))
    }

    /// Puts a pending plan in force.
    pub async fn confirm(
        &self,
        id: &PlanId,
        operator: &str,
    ) -> Result<Written<AcceptedChange>, OperatorError> {
        let workspace = workspace_of(id)?;
        for _ in 0..TRIES {
            let (revision, record) = self.read(&workspace).await?;
            let now = clock::unix_secs();
            let next = record.confirm(id, operator, now, self.write.clone())?;
            let accepted = next.history.last().cloned();
            let written = self.write(&workspace, revision, &next).await?;
            if let (Some(record), Some(told)) = (written, accepted) {
                return Ok(Written { told, record });
            }
        }
        Err(OperatorError::Contended(workspace))
    }

    fn plan_id(&self, workspace: &WorkspaceId) -> PlanId {
        let write = &self.write;
        let seed = format!("{}/{}/{}", write.node, write.incarnation, write.sequence);
        PlanId::new(format!("{workspace}.{:08x}", hash_bytes(seed.as_bytes()) as u32))
    }

    async fn read(
        &self,
        workspace: &WorkspaceId,
    ) -> Result<(Revision, WorkspaceRecord), OperatorError> {
        let read = self.service.get(&keys::workspace(workspace)).await?;
        let Some(document) = read else {
            return Ok((Revision::NONE, WorkspaceRecord::empty(workspace.clone())));
        };
        let record = serde_json::from_str(&document.body)
            .map_err(|_| OperatorError::Malformed(workspace.clone()))?;
        Ok((document.revision, record))
    }

    /// Writes a record; nothing is returned when somebody else changed it first.
    async fn write(
        &self,
        workspace: &WorkspaceId,
        expected: Revision,
        next: &WorkspaceRecord,
    ) -> Result<Option<Document>, OperatorError> {
        let key = keys::workspace(workspace);
        let body =
            serde_json::to_string(next).map_err(|_| OperatorError::Malformed(workspace.clone()))?;
        for _ in 0..TRIES {
            let outcome = self.service.swap(&key, expected, &body).await;
            match self.settle(workspace, outcome).await? {
                Some(Try::Done(revision)) => {
                    let body = Arc::from(body);
                    return Ok(Some(Document { key: Arc::from(key), revision, body }));
                }
                Some(Try::Again) => {}
                None => return Ok(None),
            }
        }
        Err(OperatorError::MayBeDone)
    }

    /// Finds out what became of a write, by reading where its answer does not tell.
    ///
    /// A write whose answer was lost may still take effect later. It is therefore tried again for
    /// the same revision, so that at most one of the two does.
    async fn settle(
        &self,
        workspace: &WorkspaceId,
        outcome: Result<Swap, PlatformError>,
    ) -> Result<Option<Try>, OperatorError> {
        match outcome {
            Ok(Swap::Done(revision)) => Ok(Some(Try::Done(revision))),
            Ok(Swap::Conflict(_)) => {
                let (revision, record) = self.read_again(workspace).await?;
                let ours = record.writes.contains(&self.write);
                Ok(ours.then_some(Try::Done(revision)))
            }
            Err(PlatformError::NoAnswer(_) | PlatformError::RateLimited) => Ok(Some(Try::Again)),
            Err(err) => Err(err.into()),
        }
    }

    /// Reads the record after a write that may have taken effect.
    async fn read_again(
        &self,
        workspace: &WorkspaceId,
    ) -> Result<(Revision, WorkspaceRecord), OperatorError> {
        for _ in 0..TRIES {
            match self.read(workspace).await {
                Err(OperatorError::Platform(_)) => {}
                other => return other,
            }
        }
        Err(OperatorError::MayBeDone)
    }
}

fn workspace_of(id: &PlanId) -> Result<WorkspaceId, OperatorError> {
    let parts = id.as_str().rsplit_once('.');
    let workspace = parts.map(|(workspace, _)| WorkspaceId::new(workspace));
    workspace.ok_or_else(|| OperatorError::Unknown { what: "plan", name: id.to_string() })
}
