//! Starts processes and chooses free addresses for them.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The ports that are handed out.
///
/// They are below the system's ephemeral ports: an outgoing connection could otherwise take a port
/// after it was chosen and before it is used.
const PORT_RANGE: std::ops::Range<u16> = 11_000..31_000;

/// Held while a port is probed and while a process is started.
///
/// A forked process has the listeners of all threads open until it executes the program. A port that
/// is probed during that time would remain in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

fn lock_spawn() -> MutexGuard<'static, ()> {
    // The lock guards no data, so a test that panics while holding it leaves nothing inconsistent.
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process at a time when no port is being probed.
///
/// # Errors
///
/// Returns an error if the process cannot be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = lock_spawn();
    command.spawn()
}

/// Returns local addresses that this process has not been given before and at which nothing listens.
///
/// # Errors
///
/// Returns an error if there are fewer than `count` free addresses.
pub fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_address().ok_or(std::io::ErrorKind::AddrInUse.into())).collect()
}

fn free_address() -> Option<SocketAddr> {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let port_count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    // Test processes that run at the same time start at ports far apart.
    let first_offset = std::process::id().wrapping_mul(257);
    let offsets = (0..port_count).map(|_| {
        first_offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % port_count
    });
    let mut addresses =
        offsets.map(|offset| SocketAddr::from(([127, 0, 0, 1], PORT_RANGE.start + offset as u16)));
    addresses.find(|address| {
        let _guard = lock_spawn();
        TcpListener::bind(address).is_ok()
    })
}
