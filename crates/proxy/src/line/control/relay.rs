//! Client of another proxy that relays changes of the store.

use std::net::SocketAddr;

use dandelionpitch_engine::feed::RELAY_GRACE;
use dandelionpitch_platform::{
    backend::{Link, Query},
    feed::{self, Request, Response},
    Error,
};

use crate::line::{control::state::Control, mirror::Handle};

/// A relay and the connection to it.
pub struct Relay {
    id: String,
    address: SocketAddr,
    link: Option<Link>,
}

impl Relay {
    /// Looks up the address of the proxy `id`. The connection is opened by the first poll.
    ///
    /// # Errors
    ///
    /// If the proxy is not registered or accepts no connections from other proxies.
    pub fn new(control: &Control, id: &str) -> Result<Self, Error> {
        let unregistered = || Error::Protocol(format!("relay {id} is not registered"));
        let address = control.address_of(id).ok_or_else(unregistered)?;
        Ok(Self::at(id, address))
    }

    /// The relay `id` at a known address.
    pub fn at(id: &str, address: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            address,
            link: None,
        }
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    /// Requests changes. A connection on which a request failed or timed out is closed.
    pub async fn poll(&mut self, mirror: &Handle, request: Request) -> Result<Response, Error> {
        let limit = request.wait + RELAY_GRACE;
        match tokio::time::timeout(limit, self.exchange(mirror, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn exchange(&mut self, mirror: &Handle, request: Request) -> Result<Response, Error> {
        let mut link = match self.link.take() {
            Some(link) => link,
            None => Link::open(self.address, feed::SERVICE, &self.id).await?,
        };
        let answer = link.query(Query::Follow(request)).await?;
        self.link = Some(link);
        Response::read(&answer.result?.rows, |key| mirror.current(key))
    }
}
