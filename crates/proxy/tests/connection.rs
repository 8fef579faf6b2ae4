//! Pooled connections to a server that stops answering.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use dandelionpitch_proxy::{config::Config, pool, session::connection::Connection};
use tokio_util::sync::CancellationToken;

/// `AuthenticationOk`, then `ReadyForQuery` with no transaction open.
const WELCOME: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";

/// A server that accepts a client and never answers a query.
fn silent_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the pool connects");
        let mut startup = [0; 1024];
        let _ = stream.read(&mut startup).expect("a startup message");
        stream.write_all(WELCOME).expect("the pool listens");
        // Held open until the client closes it.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    address
}

/// Guards against returning a connection with an outstanding answer to the pool, where it would
/// block the next read.
#[tokio::test]
async fn connection_with_outstanding_answer_is_not_reused() {
    let config = Config::load(None).expect("the embedded settings");
    let pool = pool::build(silent_server(), "ledger", 1, &config);
    let alive = CancellationToken::new();
    let mut connection = Connection::checkout(&pool, &alive)
        .await
        .expect("the server accepts the pool");

    let deadline = Instant::now() + Duration::from_millis(100);
    let position = connection.position(deadline).await;
    drop(connection);

    assert_eq!(position, None);
    assert_eq!(pool.status().size, 0);
}
