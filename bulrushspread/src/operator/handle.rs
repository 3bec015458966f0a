//! Holds the running server between start and stop.

use std::sync::{Mutex, PoisonError};

use dropshot::HttpServer;

use crate::node::Shared;

/// The operators' server, while it runs.
#[derive(Default)]
pub struct Handle {
    server: Mutex<Option<HttpServer<Shared>>>,
}

impl Handle {
    pub(super) fn put(&self, server: HttpServer<Shared>) {
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = Some(server);
    }

    pub(super) fn take(&self) -> Option<HttpServer<Shared>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
