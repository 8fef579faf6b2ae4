//! Sessions that begin just after a proxy started.

mod fixture;

use fixture::line::{Site, SESSION};

const MAX_CONNECTIONS: usize = 30;

/// Callers reconnect as soon as a restarted proxy listens. Guards against refusing them although the first
/// configuration arrives a moment later.
#[tokio::test]
async fn session_that_begins_before_the_first_configuration_waits_for_it() {
    let settings = "start_wait = \"1s\"\n";
    let mut site = Site::start_with_settings("startup", 1, MAX_CONNECTIONS, settings, &[]).await;

    for _ in 0..5 {
        site.kill_proxy(0);
        site.proxies[0] = site.start_proxy(0);
        let mut caller = site.connect(0);
        caller.send(&format!("START {SESSION} test"));

        assert_eq!(caller.next_line(), "READY I -");
    }
}

/// A restarted proxy that copies the store's content from a relay finds its own new entry there. Guards against a
/// proxy that therefore takes itself for a new one, and issues no quota permits for seconds.
#[tokio::test]
async fn restarted_proxy_finds_its_earlier_process() {
    let settings = "quota_margin = 1.0\n";
    let mut site =
        Site::start_with_settings("predecessor", 3, MAX_CONNECTIONS, settings, &[]).await;
    let found = |site: &Site, index| {
        let is_found = |found: bool| format!("\"kind\":\"predecessor\",\"registered\":{found}");
        [false, true].map(|found| site.has_logged(index, &is_found(found)))
    };

    let first = found(&site, 2);
    site.kill_proxy(2);
    site.proxies[2] = site.start_proxy(2);
    assert!(site.becomes_ready(2).await);
    let restarted = found(&site, 2);

    assert_eq!([first, restarted], [[true, false], [false, true]]);
}
