//! The paths of requests, jobs and configuration that every interface of bulrushspread shares.
//!
//! Decisions are synchronous: time and events go in, actions come out. The edges of a process are
//! traits: `log_store::Store` for what must last and `upstream::Codec` for the headers that
//! upstreams and callers exchange. An adapter implements both and feeds the state of the fleet
//! and the configuration.

pub mod balance;
pub mod batch;

pub mod catalog;
pub mod exchange;
pub mod fleet;
pub mod id;
pub mod log_store;
pub mod metrics;
pub mod node;
pub mod peers;

pub mod quarantine;
pub mod telemetry;
pub mod time;
pub mod upstream;
