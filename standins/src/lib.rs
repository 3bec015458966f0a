//! Stand-ins for the platform and the upstreams, for tests, the demo and experiments.
//!
//! Each stand-in is a small HTTP server whose faults are set at run time by `POST /control` and
//! whose counts are read by `GET /control`.

pub mod capacity;
pub mod client;
pub mod emulator;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod keyed_log;
pub mod log_service;
pub mod plain;
pub mod proxy;
pub mod role;
pub mod vm_list;
pub mod wait;
pub mod web;
pub mod weights;
