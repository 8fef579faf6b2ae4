//! Another proxy that tells this one what changed in the store.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_platform::{
    backend::{Link, Query},
    feed::{self, Request, Response},
    Error,
};

use crate::line::{control::state::Control, mirror::Handle};

/// How much longer than a question's wait its answer may take: what a busy VM needs to write it.
const SLACK: Duration = Duration::from_millis(500);

/// A proxy that is asked for changes, with the connection to it.
pub struct Feeder {
    id: String,
    address: SocketAddr,
    link: Option<Link>,
}

impl Feeder {
    /// The proxy `id`, not connected yet.
    pub fn new(control: &Control, id: &str) -> Result<Self, Error> {
        let gone = || Error::Protocol(format!("{id} is gone"));
        Ok(Self {
            id: id.to_owned(),
            address: control.address_of(id).ok_or_else(gone)?,
            link: None,
        })
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    /// Asks it; after an error the connection is not used again.
    pub async fn ask(&mut self, mirror: &Handle, question: Request) -> Result<Response, Error> {
        let limit = question.wait + SLACK;
        match tokio::time::timeout(limit, self.exchange(mirror, question)).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn exchange(&mut self, mirror: &Handle, question: Request) -> Result<Response, Error> {
        let mut link = match self.link.take() {
            Some(link) => link,
            None => Link::open(self.address, feed::SERVICE, &self.id).await?,
        };
        let answer = link.query(Query::Follow(question)).await?;
        self.link = Some(link);
        Response::read(&answer.result?.rows, |key| mirror.current(key))
    }
}
