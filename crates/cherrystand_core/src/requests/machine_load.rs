//! What a daemon uses of its machine.

use crate::Millis;

/// A resource of the machine that callers' requests use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineResource {
    /// The time of the loop that serves callers.
    Processor,
    /// The bandwidth of the machine's network link.
    Link,
    /// Memory.
    Memory,
    /// File descriptors.
    Descriptors,
}

impl MachineResource {
    /// Lists every resource.
    pub const ALL: [Self; 4] = [Self::Processor, Self::Link, Self::Memory, Self::Descriptors];

    /// Returns the name that logs and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Processor => "processor",
            Self::Link => "link",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// What a daemon used of its machine since the sample before, and what it holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// When the sample was taken.
    pub at: Millis,
    /// The share of the time for which the loop that serves callers had work, from 0 to 1.
    pub busy: f64,
    /// The share of the link's bandwidth that answers to callers took.
    pub link: f64,
    /// The share of the memory that is in use.
    pub memory: f64,
    /// The share of the file descriptors that are in use.
    pub descriptors: f64,
    /// Callers' requests in flight.
    pub in_flight: u32,
    /// How many of callers' requests ended, in a second.
    pub ended_per_s: f64,
}

impl LoadSample {
    /// Returns the share of a resource that is used.
    pub fn share(&self, resource: MachineResource) -> f64 {
        match resource {
            MachineResource::Processor => self.busy,
            MachineResource::Link => self.link,
            MachineResource::Memory => self.memory,
            MachineResource::Descriptors => self.descriptors,
        }
    }
}
