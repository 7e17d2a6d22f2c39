//! The daemon's duties, each of which runs on its own thread.

mod claim_batcher;
mod controller;
mod gossip;
mod operator_api;
mod peer_answers;
mod platform_watch;
mod prober;
mod relay;
mod state_publisher;
