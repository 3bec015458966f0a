//! The connections that this node opened, at most one to each address.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex};

use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use quinn::Connection;

/// Why a connection was not made, for all who waited for it.
pub(super) type Result<T> = std::result::Result<T, String>;
/// A connection being made.
pub(super) type Attempt = Shared<BoxFuture<'static, Result<Connection>>>;

#[derive(Default)]
pub(super) struct Links {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    open: BTreeMap<SocketAddr, Connection>,
    /// Those who need the same connection share one attempt: a second connection would end with
    /// its last user and could take datagrams with it that were not sent yet.
    connecting: BTreeMap<SocketAddr, Attempt>,
}

impl Links {
    /// The connection to an address, made by `connect` where there is none.
    pub(super) async fn get(
        &self,
        to: SocketAddr,
        connect: impl FnOnce() -> BoxFuture<'static, Result<Connection>>,
    ) -> Result<Connection> {
        let attempt = {
            let mut state = self.state.lock().unwrap();
            if let Some(connection) = state.open(to) {
                return Ok(connection);
            }
            state.connecting.entry(to).or_insert_with(|| connect().shared()).clone()
        };
        let result = attempt.clone().await;
        self.state.lock().unwrap().settle(to, &attempt, &result);
        result
    }

    /// Forgets all connections. Those in use end with their last user.
    pub(super) fn clear(&self) {
        *self.state.lock().unwrap() = State::default();
    }
}

impl State {
    fn open(&mut self, to: SocketAddr) -> Option<Connection> {
        let connection = self.open.get(&to)?;
        if connection.close_reason().is_some() {
            self.open.remove(&to);
            return None;
        }
        Some(connection.clone())
    }

    /// Takes over the result of an attempt, unless another one has done so.
    fn settle(&mut self, to: SocketAddr, attempt: &Attempt, result: &Result<Connection>) {
        if !self.connecting.get(&to).is_some_and(|current| current.ptr_eq(attempt)) {
            return;
        }
        self.connecting.remove(&to);
        if let Ok(connection) = result {
            self.open.insert(to, connection.clone());
        }
    }
}
