//! bulrushspread serves online and batch inference on one fleet of upstreams.
//!
//! Every entry VM runs the same daemon. Each duty is a slice with its own state, messages and
//! settings. The decisions of a slice are synchronous state machines; `task` modules feed them
//! and carry out what they decide.

pub use serving::{id, time};

pub mod admit;
pub mod attempt;
pub mod batch;
pub mod config;
pub mod error;
pub mod gateway;
pub mod journal;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod problem;
pub mod rendezvous;
pub mod route;
pub mod settings;
pub mod telemetry;
pub mod upstream;
pub mod vms;
mod web;
