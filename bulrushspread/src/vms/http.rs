//! The VM list over HTTP/JSON: `GET /vms` answers `{"vms": [...]}`.

use std::net::SocketAddr;

use anyhow::ensure;
use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;

use crate::{
    time::Millis,
    web::{Web, url},
};

use super::{List, Listed, Result};

const TIMEOUT: Millis = Millis(2_000);

/// The VM list at one address.
pub struct Http {
    address: SocketAddr,
    web: Web,
}

#[derive(Deserialize)]
struct Answer {
    vms: Vec<Listed>,
}

impl Http {
    pub fn new(address: SocketAddr) -> Http {
        Http { address, web: Web::default() }
    }
}

#[async_trait]
impl List for Http {
    async fn list(&self) -> Result<Vec<Listed>> {
        let request = Request::get(url(self.address, "/vms")).body(Full::new(Bytes::new()))?;
        let answer = self.web.send(request, TIMEOUT).await?;
        ensure!(answer.status.is_success(), "the VM list answered {}", answer.status);
        let answer: Answer = serde_json::from_slice(&answer.body)?;
        Ok(answer.vms)
    }
}
