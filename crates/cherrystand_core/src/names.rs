//! Names of the things that the system handles.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

// Names are shared, not copied: a published view of 295 daemons and 1,107 boxes holds some 5,000.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from text.
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
    /// Names one box that a model engine runs on.
    BoxId
);
/// Maps by box are looked into by text, without making a name for it.
impl Borrow<str> for BoxId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Stands between a box's name and the start of one of its lives; no name holds it.
const INCARNATION_SEPARATOR: char = '@';

impl BoxId {
    /// Names one life of the box that this names: the one that started at `start`, in Unix
    /// milliseconds.
    ///
    /// A box that starts again under its name holds and knows nothing of before. Whatever is
    /// remembered of a box is kept by its life, so that a new one is a box that nobody knows yet.
    pub fn with_incarnation(&self, start: u64) -> Self {
        Self::new(format!("{}{INCARNATION_SEPARATOR}{start}", self.name()))
    }

    /// Returns the box's own name, whatever its life.
    pub fn name(&self) -> &str {
        self.split_incarnation().map_or(&self.0, |(name, _)| name)
    }

    /// Returns when the life that this names started, in Unix milliseconds; nothing where it names no
    /// certain one.
    pub fn start(&self) -> Option<u64> {
        self.split_incarnation().map(|(_, start)| start)
    }

    /// Tells whether both name the same box, in whichever life.
    pub fn is_same_box(&self, other: &Self) -> bool {
        self.name() == other.name()
    }

    /// Tells whether both name the same box in different lives.
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        let starts = self.start().zip(other.start());
        starts.is_some_and(|(one, two)| one != two) && self.is_same_box(other)
    }

    /// Tells whether a text may name a box: it goes into headers, records and logs.
    pub fn is_valid_name(text: &str) -> bool {
        /// The longest name, in bytes.
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
    /// Names an availability zone.
    ZoneId
);
name_type!(
    /// Names a region, in which availability zones lie.
    RegionId
);
name_type!(
    /// Names a fabric domain: the boxes that one replica may span.
    DomainId
);
name_type!(
    /// Names a workspace, the unit that operators configure.
    WorkspaceId
);
name_type!(
    /// Names one daemon.
    NodeId
);
name_type!(
    /// Names a service behind routes.
    ServiceName
);
name_type!(
    /// Names a plan that awaits confirmation.
    PlanId
);

/// Names a serving group within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct GroupId {
    /// The workspace that states the group.
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

/// Names one replica slot of a group, counted from 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ReplicaId {
    /// The group that the replica serves.
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

/// Tells that a text is not the name it should be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a {expected}; write it as {form}")]
pub struct NameError {
    /// The text that was read.
    pub text: String,
    /// What it should name.
    pub expected: &'static str,
    /// The form such a name has.
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
