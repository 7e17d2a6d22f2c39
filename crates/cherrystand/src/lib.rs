//! A serving system for models that span several machines.
//!
//! This crate is the public API. It re-exports the decision logic, the clients for the platform, and
//! the messages between daemons.
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

/// Messages between daemons, and their transport.
pub mod peer {
    pub use cherrystand_peer::*;
}

/// Clients for external services.
pub mod platform {
    pub use cherrystand_platform::*;
}
