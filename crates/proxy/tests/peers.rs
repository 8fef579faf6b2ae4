//! Other proxies that statements are handed to, while some of them cannot be reached.

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
    ownership::{Allocation, Peer, Plan},
    session::Variables,
};
use dandelionpitch_proxy::{
    line::{
        backend::{
            pool::{loan::Checkout, Rank, Wish},
            Backend,
        },
        clock,
        peers::Peers,
        view::{Ownership, View},
    },
    metrics::Metrics,
};
use socket2::{Domain, Socket, Type};
use tokio::task::LocalSet;

const GROUP: &str = "ledger";

/// Longer than it takes to find out that a VM is not there, and that it is back.
const SETTLED: Duration = Duration::from_millis(1_500);

/// A VM that accepts no more connections, as one behind a cut: its queue of new ones is full.
struct Cut {
    listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl Cut {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a free port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let patience = Duration::from_millis(50);
        let queued = (0..3).map_while(|_| TcpStream::connect_timeout(&address, patience).ok());
        Self {
            _queued: queued.collect(),
            listener,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Accepts what waits and whatever comes.
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

/// The group's statements go to the near owner first and then to the far ones.
fn known(near: &Peer, far: &[&Peer]) -> Peers {
    let plan = Plan::Forward {
        local: vec![near.id.clone()],
        fallback: far.iter().map(|peer| peer.id.clone()).collect(),
    };
    let allocation = Allocation::Owners { per_dc: 1, dcs: 2 };
    let ownership = Ownership { allocation, plan };
    let view = View {
        peers: std::iter::once(near)
            .chain(far.iter().copied())
            .cloned()
            .collect(),
        ownership: [(GROUP.to_owned(), ownership)].into_iter().collect(),
        ..View::default()
    };
    let peers = Peers::default();
    peers.update(&Arc::new(view), "own", &Metrics::default());
    peers
}

fn ids(asked: Option<Vec<Rc<Backend>>>) -> Vec<String> {
    let asked = asked.expect("it is handed over");
    asked
        .iter()
        .map(|peer| peer.server.id().to_owned())
        .collect()
}

/// A cut parts half of the proxies from the other half for seconds. The first statement that meets it finds the near
/// owner gone; from then on statements go to those that are there without waiting, also past a
/// far owner that nobody has asked yet, and to the near one again once the cut has healed.
#[tokio::test]
async fn statements_do_not_wait_for_lost_owners() {
    let (near, far) = (Cut::new(), Cut::new());
    let there = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let there_at = there.local_addr().expect("an address");
    let all = [
        peer("near", near.address()),
        peer("far", far.address()),
        peer("there", there_at),
    ];
    let peers = known(&all[0], &[&all[1], &all[2]]);
    let local = LocalSet::new();

    let (before, during, after) = local
        .run_until(async {
            let before = peers.of(GROUP);
            peers.lose(&before.as_ref().expect("owners")[0]);
            tokio::time::sleep(SETTLED).await;
            let during = peers.of(GROUP);
            near.heal();
            tokio::time::sleep(SETTLED).await;
            (ids(before), ids(during), ids(peers.of(GROUP)))
        })
        .await;

    assert_eq!(before, ["near", "far", "there"]);
    assert_eq!(during, ["there"]);
    assert_eq!(after[0], "near");
}

/// All proxies are restarted at once, and each finds the first owner gone. If it then called on every owner of every
/// group, hundreds of proxies would call on each other by the ten thousand.
#[tokio::test]
async fn one_loss_calls_on_some_of_many_owners() {
    let lost = peer("lost", Cut::new().address());
    let others: Vec<(Peer, Arc<AtomicUsize>)> = (0..100).map(counting).collect();
    let far: Vec<&Peer> = others.iter().map(|(peer, _)| peer).collect();
    let peers = known(&lost, &far);
    let local = LocalSet::new();

    local
        .run_until(async {
            let owners = peers.of(GROUP).expect("owners");
            peers.lose(&owners[0]);
            tokio::time::sleep(SETTLED).await;
        })
        .await;

    let called = others
        .iter()
        .map(|(_, calls)| calls.load(Ordering::Relaxed));
    let called: usize = called.sum();
    assert!((20..=32).contains(&called), "{called} of 100");
}

/// Another proxy that counts the connections it is asked for.
fn counting(index: usize) -> (Peer, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let calls = Arc::new(AtomicUsize::default());
    let counted = calls.clone();
    std::thread::spawn(move || {
        while listener.accept().is_ok() {
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    (peer(&format!("far-{index}"), address), calls)
}

/// All owners are behind the cut. They are still named: nobody else can run the statement.
#[tokio::test]
async fn lost_owners_are_asked_if_there_are_no_others() {
    let near = Cut::new();
    let only = peer("near", near.address());
    let peers = known(&only, &[]);
    let local = LocalSet::new();

    let during = local
        .run_until(async {
            let owners = peers.of(GROUP).expect("owners");
            peers.lose(&owners[0]);
            tokio::time::sleep(SETTLED).await;
            ids(peers.of(GROUP))
        })
        .await;

    assert_eq!(during, ["near"]);
}

/// Another proxy that takes connections and answers nothing more.
fn welcoming() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            stream.write_all(b"READY I -\r\n").expect("it is read");
            open.push(stream);
        }
    });
    address
}

/// After a restart of everything a proxy has many statements for one owner at once, and later one at a time. If
/// the connections of that moment stayed, hundreds of proxies would take the descriptors of the
/// owner's VM with what nobody uses.
#[tokio::test]
async fn links_of_a_crowded_moment_are_closed_later() {
    let owner = peer("near", welcoming());
    let peers = known(&owner, &[]);
    let local = LocalSet::new();

    let (crowded, later) = local
        .run_until(async {
            let owner = peers.of(GROUP).expect("owners").remove(0);
            let mut lent = Vec::new();
            for _ in 0..10 {
                lent.push(checkout(&owner).await);
            }
            let crowded = owner.pool.open_now();
            lent.into_iter().for_each(Checkout::release);
            for _ in 0..2 {
                peers.tidy();
                checkout(&owner).await.release();
            }
            peers.tidy();
            (crowded, owner.pool.open_now())
        })
        .await;

    assert_eq!(crowded, 10);
    assert_eq!(later, 2, "the one that is used and a spare one");
}

/// Callers press a proxy with more statements for one owner than that owner can have under way. The rest
/// waits, or is refused, here: connections to an owner do not grow with the number of callers.
#[tokio::test]
async fn links_to_one_owner_are_bounded() {
    let owner = peer("near", welcoming());
    let peers = known(&owner, &[]);
    let local = LocalSet::new();

    let open = local
        .run_until(async {
            let owner = peers.of(GROUP).expect("owners").remove(0);
            let asked = (0..100).map(|_| tokio::time::timeout(CROWDED, checkout(&owner)));
            let lent = futures::future::join_all(asked).await;
            assert!(lent.iter().any(Result::is_err));
            owner.pool.open_now()
        })
        .await;

    assert!(open <= 16, "{open} connections");
}

/// How long statements press for connections at once.
const CROWDED: Duration = Duration::from_millis(300);

async fn checkout(peer: &Rc<Backend>) -> Checkout {
    let deadline = clock::now() + Duration::from_secs(5);
    let rank = Rank {
        priority: 0,
        due: deadline,
    };
    let wish = Wish { rank, deadline };
    let lent = peer.pool.checkout(&Variables::default(), wish).await;
    lent.unwrap_or_else(|miss| panic!("no connection: {miss:?}"))
}

/// The owner is there and busy: its VM accepts a connection at once, and its process says so a quarter of a
/// second later. It is waited for; taken for lost, it would get none of its callers' statements while busy.
#[tokio::test]
async fn busy_owner_is_not_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let owner = peer("near", listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("it is asked");
        std::thread::sleep(Duration::from_millis(250));
        stream.write_all(b"READY I -\r\n").expect("it is read");
        std::thread::sleep(SETTLED);
    });
    let peers = known(&owner, &[]);
    let local = LocalSet::new();

    let open = local
        .run_until(async {
            let owner = peers.of(GROUP).expect("owners").remove(0);
            let lent = checkout(&owner).await;
            let open = owner.pool.open_now();
            lent.release();
            open
        })
        .await;

    assert_eq!(open, 1);
}
