//! Starting processes, and addresses for them.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The ports that are given out: below those that the system gives to outgoing connections, which
/// could take a port between its choice and its use.
const PORT_RANGE: std::ops::Range<u16> = 11_000..31_000;

/// Held while a port is tried and while a process starts.
///
/// A process that starts has the listeners of all threads open for a moment, until it becomes the
/// program; a port tried just then would stay in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

fn lock_spawn() -> MutexGuard<'static, ()> {
    // A test that failed while it held the lock leaves nothing half done.
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process while no port is tried.
///
/// # Errors
///
/// Returns an error where it cannot be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = lock_spawn();
    command.spawn()
}

/// Returns addresses that this process was not given before and that nobody listens at.
///
/// # Errors
///
/// Returns an error where there are not as many.
pub fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_address().ok_or(std::io::ErrorKind::AddrInUse.into())).collect()
}

fn free_address() -> Option<SocketAddr> {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let port_count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    // Processes that run side by side begin far apart.
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
