//! The clock that all timing decisions use.

use std::time::Duration;

use dandelionpitch_engine::time::Moment;
use nix::time::{clock_gettime, ClockId};

/// The time since boot, including time during which the VM was suspended.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot-time clock");
    let seconds = u64::try_from(time.tv_sec()).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec()).unwrap_or_default();
    Moment::from_boot(Duration::new(seconds, nanos))
}
