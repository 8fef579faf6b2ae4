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
