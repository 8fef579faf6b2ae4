//! Forwarding of statements to the proxies that own a group, while some of them are unreachable.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use dandelionpitch_engine::{
    ownership::{Peer, Plan},
    session::Variables,
    slots::Purpose,
};
use dandelionpitch_proxy::{
    line::{
        backend::{
            pool::checkout::Checkout,
            request::{Client, Rank, Request},
            Backend,
        },
        clock,
        peers::Peers,
    },
    metrics::Metrics,
};
use socket2::{Domain, Socket, Type};
use tokio::task::LocalSet;

const GROUP: &str = "ledger";

/// Longer than it takes to detect that a peer is unreachable, or reachable again.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);

/// A peer that looks partitioned: its accept queue is full, so new connections hang.
struct PartitionedPeer {
    listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl PartitionedPeer {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a free port");
        socket.listen(0).expect("the socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let timeout = Duration::from_millis(50);
        let queued = (0..3).map_while(|_| TcpStream::connect_timeout(&address, timeout).ok());
        Self {
            _queued: queued.collect(),
            listener,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Accepts all queued and new connections.
    fn heal(self) {
        std::thread::spawn(move || while self.listener.accept().is_ok() {});
    }
}

fn peer(id: &str, address: SocketAddr) -> Peer {
    Peer {
        id: id.to_owned(),
        dc: "dc-1".to_owned(),
        address,
        capacity: 1.0,
    }
}

/// Peers that own the group, with `near` preferred over `far`.
fn peers_owning(near: &Peer, far: &[&Peer]) -> Peers {
    let plan = Plan::Forward {
        local: vec![near.id.clone()],
        fallback: far.iter().map(|peer| peer.id.clone()).collect(),
    };
    let live = std::iter::once(near).chain(far.iter().copied());
    let live: Vec<Peer> = live.cloned().collect();
    let peers = Peers::default();
    peers.update(&live, "own", &Metrics::default());
    peers.set_plan(GROUP, &plan);
    peers
}

fn ids(owners: Option<Vec<Rc<Backend>>>) -> Vec<String> {
    let owners = owners.expect("the group is forwarded");
    owners
        .iter()
        .map(|peer| peer.server.id().to_owned())
        .collect()
}

/// Guards against statements that wait for owners behind a network partition after the first one found
/// an owner unreachable, and against avoiding the near owner after the partition has healed.
#[tokio::test]
async fn statements_skip_unreachable_owners() {
    let (near, far) = (PartitionedPeer::new(), PartitionedPeer::new());
    let reachable = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let reachable_address = reachable.local_addr().expect("an address");
    let all = [
        peer("near", near.address()),
        peer("far", far.address()),
        peer("there", reachable_address),
    ];
    let peers = peers_owning(&all[0], &[&all[1], &all[2]]);
    let local = LocalSet::new();

    let (before, during, after) = local
        .run_until(async {
            let before = peers.forwarding_targets(GROUP);
            peers.note_failure(&before.as_ref().expect("owners")[0]);
            tokio::time::sleep(DETECTION_TIME).await;
            let during = peers.forwarding_targets(GROUP);
            near.heal();
            tokio::time::sleep(DETECTION_TIME).await;
            (
                ids(before),
                ids(during),
                ids(peers.forwarding_targets(GROUP)),
            )
        })
        .await;

    assert_eq!(before, ["near", "far", "there"]);
    assert_eq!(during, ["there"]);
    assert_eq!(after[0], "near");
}

/// Guards against a connection storm when all proxies restart at once: a proxy that finds an owner
/// unreachable must not connect to all other owners.
#[tokio::test]
async fn unreachable_owner_causes_few_connections() {
    let unreachable = peer("lost", PartitionedPeer::new().address());
    let others: Vec<(Peer, Arc<AtomicUsize>)> = (0..100).map(counting_peer).collect();
    let far: Vec<&Peer> = others.iter().map(|(peer, _)| peer).collect();
    let peers = peers_owning(&unreachable, &far);
    let local = LocalSet::new();

    local
        .run_until(async {
            let owners = peers.forwarding_targets(GROUP).expect("owners");
            peers.note_failure(&owners[0]);
            tokio::time::sleep(DETECTION_TIME).await;
        })
        .await;

    let accepted = others
        .iter()
        .map(|(_, connections)| connections.load(Ordering::Relaxed));
    let accepted: usize = accepted.sum();
    assert!((20..=32).contains(&accepted), "{accepted} of 100");
}

/// A peer that counts the connections it accepts.
fn counting_peer(index: usize) -> (Peer, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::default());
    let counter = connections.clone();
    std::thread::spawn(move || {
        while listener.accept().is_ok() {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    (peer(&format!("far-{index}"), address), connections)
}

/// Guards against having no owner to forward to when all owners are unreachable.
#[tokio::test]
async fn unreachable_owners_are_used_if_there_are_no_others() {
    let near = PartitionedPeer::new();
    let only = peer("near", near.address());
    let peers = peers_owning(&only, &[]);
    let local = LocalSet::new();

    let during = local
        .run_until(async {
            let owners = peers.forwarding_targets(GROUP).expect("owners");
            peers.note_failure(&owners[0]);
            tokio::time::sleep(DETECTION_TIME).await;
            ids(peers.forwarding_targets(GROUP))
        })
        .await;

    assert_eq!(during, ["near"]);
}

/// A peer that greets each connection and sends nothing more.
fn greeting_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            stream
                .write_all(b"READY I -\r\n")
                .expect("the stream is writable");
            open.push(stream);
        }
    });
    address
}

/// Guards against keeping the connections of a burst of statements open: the idle connections of many
/// proxies would use up the owner's file descriptors.
#[tokio::test]
async fn connections_of_a_burst_are_closed_later() {
    let owner = peer("near", greeting_peer());
    let peers = peers_owning(&owner, &[]);
    let local = LocalSet::new();

    let (during_burst, later) = local
        .run_until(async {
            let owner = peers.forwarding_targets(GROUP).expect("owners").remove(0);
            let mut burst = Vec::new();
            for _ in 0..10 {
                burst.push(checkout(&owner).await);
            }
            let during_burst = owner.pool.open_connections();
            burst.into_iter().for_each(Checkout::release);
            for _ in 0..2 {
                peers.close_spare_connections();
                checkout(&owner).await.release();
            }
            peers.close_spare_connections();
            (during_burst, owner.pool.open_connections())
        })
        .await;

    assert_eq!(during_burst, 10);
    assert_eq!(later, 2, "one in use and one spare");
}

/// Guards against connections to an owner that grow with the number of callers: excess statements wait
/// or are refused.
#[tokio::test]
async fn connections_to_one_owner_are_bounded() {
    let owner = peer("near", greeting_peer());
    let peers = peers_owning(&owner, &[]);
    let local = LocalSet::new();

    let open = local
        .run_until(async {
            let owner = peers.forwarding_targets(GROUP).expect("owners").remove(0);
            let checkouts = (0..100).map(|_| tokio::time::timeout(BURST_TIMEOUT, checkout(&owner)));
            let results = futures::future::join_all(checkouts).await;
            assert!(results.iter().any(Result::is_err));
            owner.pool.open_connections()
        })
        .await;

    assert!(open <= 16, "{open} connections");
}

/// How long the statements of a burst wait for a connection.
const BURST_TIMEOUT: Duration = Duration::from_millis(300);

async fn checkout(peer: &Rc<Backend>) -> Checkout {
    let deadline = clock::now() + Duration::from_secs(5);
    let rank = Rank {
        priority: 0,
        due: deadline,
    };
    let request = Request {
        client: Client::Proxy,
        purpose: Purpose::Statement,
        rank,
        deadline,
    };
    let result = peer.pool.checkout(&Variables::default(), request).await;
    result.unwrap_or_else(|error| panic!("no connection: {error:?}"))
}

/// Guards against treating a busy owner as unreachable: its kernel accepts the connection at once, and
/// its process sends the greeting later.
#[tokio::test]
async fn busy_owner_is_not_treated_as_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let owner = peer("near", listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        std::thread::sleep(Duration::from_millis(250));
        stream
            .write_all(b"READY I -\r\n")
            .expect("the stream is writable");
        std::thread::sleep(DETECTION_TIME);
    });
    let peers = peers_owning(&owner, &[]);
    let local = LocalSet::new();

    let open = local
        .run_until(async {
            let owner = peers.forwarding_targets(GROUP).expect("owners").remove(0);
            let in_use = checkout(&owner).await;
            let open = owner.pool.open_connections();
            in_use.release();
            open
        })
        .await;

    assert_eq!(open, 1);
}
