//! Load balancing, request routing, batch jobs and configuration, independent of the interfaces of
//! the platform that bulrushspread runs on.
//!
//! Decision logic is synchronous and does no I/O: it receives the time and events and returns
//! actions. Two traits abstract the platform: [`log_store::Store`] for durable state and
//! [`upstream::Codec`] for the headers of requests and responses. An adapter crate implements both
//! and supplies the registered upstreams and the configuration.

pub mod access;
pub mod allowance;
pub mod balance;
pub mod batch;

pub mod catalog;
pub mod collector;
pub mod exchange;
pub mod fleet;
pub mod forward;
pub mod id;
pub mod intake;
pub mod log_store;
pub mod metrics;
pub mod node;
pub mod origins;
pub mod parts;
pub mod peers;

pub mod quarantine;
pub mod shutdown;
pub mod telemetry;
pub mod tenure;
pub mod time;
pub mod uplink;
pub mod upstream;
