//! Client of another proxy that relays changes of the store.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_engine::{feed::RELAY_GRACE, mirror::Progress, seed};
use dandelionpitch_platform::{
    backend::{Link, Query},
    feed::{self, Message, Request, Response, Version},
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
        let known = |key: &str| mirror.current(key);
        self.exchange(Message::Follow(request), limit, known).await
    }

    /// Requests the next part of a copy, of whatever age.
    pub async fn copy(&mut self, progress: Progress) -> Result<Response, Error> {
        let limit = seed::ANSWER_TIMEOUT;
        self.exchange(Message::Copy(progress), limit, |_| None)
            .await
    }

    /// Sends a message and reads the response within `limit`. `known` is as in [`Response::read`].
    async fn exchange(
        &mut self,
        message: Message,
        limit: Duration,
        known: impl Fn(&str) -> Option<Version>,
    ) -> Result<Response, Error> {
        match tokio::time::timeout(limit, self.send(message)).await {
            Ok(rows) => Response::read(&rows?, known),
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Returns the rows of the response.
    async fn send(&mut self, message: Message) -> Result<Vec<u8>, Error> {
        let mut link = match self.link.take() {
            Some(link) => link,
            None => Link::open(self.address, feed::SERVICE, &self.id).await?,
        };
        let answer = link.query(Query::Feed(message)).await?;
        self.link = Some(link);
        Ok(answer.result?.rows)
    }
}
