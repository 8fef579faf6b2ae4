//! Reads while the primary is dead and no other server leads yet.

mod fixture;

use std::time::{Duration, Instant};

use fixture::line::{rows, Caller, Site, BOUNDED, LATEST, SESSION};

/// How long after the crash reads are checked: shorter than the failover, as promotions take effect
/// [`EFFECT_MS`] after their call.
const OUTAGE: Duration = Duration::from_millis(1_800);
const EFFECT_MS: &str = "2400";

/// Time until the proxy knows that its first statuses of the servers were not from restarted ones: a
/// restart is registered within 2.6 s, and the proxy's list is at most 1.5 s old.
const INCARNATION_DELAY: Duration = Duration::from_millis(4_500);

/// The longest time in which a read must be answered, on a busy machine.
const READ_LIMIT: Duration = Duration::from_millis(400);

/// Starts a site in which all three kinds of databases read the same group.
async fn start_site(name: &str) -> Site {
    let arguments = ["--promote-ms", "0", "--effect-ms", EFFECT_MS];
    let site = Site::start_with(name, 1, &arguments).await;
    site.configure(2, &[LATEST, SESSION, BOUNDED]).await;
    site.wait_for_version(2).await;
    site
}

/// Leaves a write on the primary that no replica receives and nobody is told of, lets the proxy learn
/// where the primary's log ends, and kills the primary.
async fn crash_behind_replicas(site: &Site) {
    for replica in [1, 2] {
        site.fault(replica, "deaf", true).await;
    }
    let mut caller = site.caller(0, LATEST);
    caller.send("QUERY lost PUT b unreplicated");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(site.caller(0, LATEST).query("FETCH a").is_done());
    site.fault(0, "dead", true).await;
    for replica in [1, 2] {
        site.fault(replica, "deaf", false).await;
    }
}

/// The primary crashes with a log that ends after what its replicas have received. Guards against
/// refusing reads until the promotion, waiting for the dead primary, and missing the last
/// acknowledged write.
#[tokio::test]
async fn reads_of_all_levels_continue_until_the_promotion() {
    let site = start_site("reads").await;
    let mut callers: Vec<(&str, Caller)> = [LATEST, SESSION, BOUNDED]
        .map(|database| (database, site.caller(0, database)))
        .into();
    for round in 0..20 {
        assert!(callers[0].1.query(&format!("PUT a {round}")).is_done());
    }
    tokio::time::sleep(INCARNATION_DELAY).await;

    crash_behind_replicas(&site).await;
    let crashed_at = Instant::now();
    let mut answers = Vec::new();
    while crashed_at.elapsed() < OUTAGE {
        for (database, caller) in &mut callers {
            let asked_at = Instant::now();
            let answer = caller.query("FETCH a");
            answers.push((*database, asked_at.elapsed(), answer));
        }
        std::thread::sleep(Duration::from_millis(20));
    }

    assert_eq!(site.group().await["promotions"], 0, "promoted too early");
    for database in [LATEST, SESSION, BOUNDED] {
        let own = answers.iter().filter(|(name, ..)| *name == database);
        let (served, refused): (Vec<_>, Vec<_>) = own.partition(|(.., answer)| answer.is_done());
        let slowest = served.iter().map(|(_, took, _)| *took).max();
        println!("{database}: {} served, slowest {slowest:?}", served.len());
        assert!(refused.len() * 10 < served.len(), "{database}: {refused:?}");
        assert!(slowest < Some(READ_LIMIT), "{database}: {slowest:?}");
        assert!(served.iter().all(|(.., answer)| rows(answer) == ["19"]));
    }
}
