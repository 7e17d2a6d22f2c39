//! A serving system for models that span several machines.
//!
//! This crate is the door for those who build on it: the pure decisions, the clients of the
//! platform, and the messages between daemons, each re-exported as it is.
//!
//! # Examples
//!
//! ```
//! use cherrystand::WorkspaceConfig;
//!
//! let config = WorkspaceConfig::from_toml(
//!     r#"
//!     workspace = "photo"
//!     [[model]]
//!     name = "captions"
//!     model = "captioner"
//!     version = "1"
//!     replicas = 2
//!     boxes_per_replica = 8
//!     "#,
//! )?;
//! assert_eq!(config.models[0].capacity_floor(), 1);
//! # Ok::<(), cherrystand::SettingsError>(())
//! ```

pub use cherrystand_core::*;

/// Messages between daemons and the transport that carries them.
pub mod peer {
    pub use cherrystand_peer::*;
}

/// Clients of what lies outside the system.
pub mod platform {
    pub use cherrystand_platform::*;
}
