//! A model engine: continuous batching, FIFO admission, a limited prefix cache.
//!
//! * `POST /v1/generate`, `DELETE /v1/streams/{id}`, `GET /v1/load`, `POST /v1/orders` as the
//!   system's engine client speaks them.
//! * `GET /v1/kv/{id}` exports what the engine holds of a stream, `PUT` imports it.
//! * `GET /v1/cache-events?from=n` lists changes of the prefix cache, late and with gaps.
//! * `POST /control` sets settings, `GET /control` reads settings, counts and accepted orders.

mod batch;
mod cache;
mod counts;
mod orders;
mod service;
mod settings;
pub mod text;

pub use service::serve;
pub use settings::Settings;
