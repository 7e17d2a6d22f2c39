//! Identifiers.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

// Names are reference-counted: a view of 295 daemons and 1,107 boxes holds some 5,000 of them.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Identifies a box that runs a model engine, with or without its incarnation.
    BoxId
);
/// Maps by box can be searched by text without allocating a name.
impl Borrow<str> for BoxId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Separates a box's name from its incarnation; no name contains it.
const INCARNATION_SEPARATOR: char = '@';

impl BoxId {
    /// Returns the id of this box's incarnation that started at `start`, in Unix milliseconds.
    ///
    /// A box that restarts under its name has lost its state. What is remembered of a box is keyed
    /// by incarnation, so that a new incarnation counts as an unknown box.
    pub fn with_incarnation(&self, start: u64) -> Self {
        Self::new(format!("{}{INCARNATION_SEPARATOR}{start}", self.name()))
    }

    /// Returns the box's name without the incarnation.
    pub fn name(&self) -> &str {
        self.split_incarnation().map_or(&self.0, |(name, _)| name)
    }

    /// Returns when the incarnation started, in Unix milliseconds, if the id has one.
    pub fn start(&self) -> Option<u64> {
        self.split_incarnation().map(|(_, start)| start)
    }

    /// Returns whether both are the same box, in any incarnation.
    pub fn is_same_box(&self, other: &Self) -> bool {
        self.name() == other.name()
    }

    /// Returns whether both are the same box in different incarnations.
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        let starts = self.start().zip(other.start());
        starts.is_some_and(|(one, two)| one != two) && self.is_same_box(other)
    }

    /// Returns whether a text is valid as the name of a box, which is used in headers, records and
    /// logs.
    pub fn is_valid_name(text: &str) -> bool {
        /// The maximum length in bytes.
        const MAX_BYTES: usize = 128;
        let is_allowed = |byte: u8| {
            byte.is_ascii_graphic() && byte != b'/' && byte != INCARNATION_SEPARATOR as u8
        };
        !text.is_empty() && text.len() <= MAX_BYTES && text.bytes().all(is_allowed)
    }

    fn split_incarnation(&self) -> Option<(&str, u64)> {
        let (name, start) = self.0.rsplit_once(INCARNATION_SEPARATOR)?;
        Some((name, start.parse().ok()?))
    }
}

name_type!(
    /// Identifies an availability zone.
    ZoneId
);
name_type!(
    /// Identifies a region, which contains availability zones.
    RegionId
);
name_type!(
    /// Identifies a fabric domain, the set of boxes that one replica may span.
    DomainId
);
name_type!(
    /// Identifies a workspace, the unit of configuration.
    WorkspaceId
);
name_type!(
    /// Identifies a daemon.
    NodeId
);
name_type!(
    /// Identifies a service that routes refer to.
    ServiceName
);
name_type!(
    /// Identifies a plan that is pending confirmation.
    PlanId
);

/// Identifies a group within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct GroupId {
    /// The workspace of the group.
    pub workspace: WorkspaceId,
    /// The group's name, unique within the workspace.
    pub name: String,
}

impl GroupId {
    /// Creates the id of `name` in `workspace`.
    pub fn new(workspace: WorkspaceId, name: impl Into<String>) -> Self {
        let name = name.into();
        Self { workspace, name }
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.name)
    }
}

/// Identifies one replica slot of a group, counted from 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ReplicaId {
    /// The group of the replica.
    pub group: GroupId,
    /// The slot within the group.
    pub slot: u32,
}

impl ReplicaId {
    /// Creates the id of slot `slot` of `group`.
    pub fn new(group: GroupId, slot: u32) -> Self {
        Self { group, slot }
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.group, self.slot)
    }
}

/// A text that isn't a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a {expected}; write it as {form}")]
pub struct NameError {
    /// The text.
    pub text: String,
    /// What it should name.
    pub expected: &'static str,
    /// The expected form.
    pub form: &'static str,
}

impl TryFrom<String> for GroupId {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        match text.split_once('/') {
            Some((workspace, name)) if !workspace.is_empty() && !name.is_empty() => {
                Ok(Self::new(WorkspaceId::new(workspace), name))
            }
            _ => Err(NameError { text, expected: "group", form: "WORKSPACE/GROUP" }),
        }
    }
}

impl TryFrom<String> for ReplicaId {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        let parsed = text.rsplit_once('/').and_then(|(group, slot)| {
            let group = GroupId::try_from(group.to_owned()).ok()?;
            let slot = slot.parse().ok()?;
            Some(Self::new(group, slot))
        });
        parsed.ok_or(NameError { text, expected: "replica", form: "WORKSPACE/GROUP/SLOT" })
    }
}

impl From<GroupId> for String {
    fn from(id: GroupId) -> Self {
        id.to_string()
    }
}

impl From<ReplicaId> for String {
    fn from(id: ReplicaId) -> Self {
        id.to_string()
    }
}
