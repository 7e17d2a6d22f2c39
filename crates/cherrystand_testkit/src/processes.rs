//! Starting processes, and addresses for them.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The ports that are given out: below those that the system gives to outgoing connections, which
/// could take a port between its choice and its use.
const PORTS: std::ops::Range<u16> = 11_000..31_000;

/// Held while a port is tried and while a process starts.
///
/// A process that starts has the listeners of all threads open for a moment, until it becomes the
/// program; a port tried just then would stay in use.
static TRY_OR_START: Mutex<()> = Mutex::new(());

fn try_or_start() -> MutexGuard<'static, ()> {
    // A test that failed while it held the lock leaves nothing half done.
    TRY_OR_START.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process while no port is tried.
///
/// # Errors
///
/// Returns an error where it cannot be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = try_or_start();
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
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let span = u32::from(PORTS.end - PORTS.start);
    // Processes that run side by side begin far apart.
    let first = std::process::id().wrapping_mul(257);
    let numbers =
        (0..span).map(|_| first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % span);
    let mut addresses =
        numbers.map(|number| SocketAddr::from(([127, 0, 0, 1], PORTS.start + number as u16)));
    addresses.find(|address| {
        let _guard = try_or_start();
        TcpListener::bind(address).is_ok()
    })
}
