//! Reserves loopback networks, so that fleets that run at once don't share addresses.

use rand::Rng;
use std::{
    net::{IpAddr, Ipv4Addr, TcpListener},
    sync::{Condvar, Mutex, PoisonError},
};

/// Maximum number of fleets that run at once in one test process.
const MAX_FLEETS: usize = 2;
/// Last octet of the address whose listener reserves a network, also against other processes.
const RESERVATION_HOST: u8 = 254;
/// Port of the listener that reserves a network.
const RESERVATION_PORT: u16 = 9999;

/// Number of fleets that run in this process.
static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// A /24 network of loopback addresses, reserved until it is dropped.
#[derive(Debug)]
pub struct Network {
    second_octet: u8,
    third_octet: u8,
    _reservation: TcpListener,
}

impl Network {
    /// Waits until fewer than `MAX_FLEETS` fleets run in this process, then reserves a network at
    /// random that no other process has reserved.
    pub fn reserve() -> Self {
        let fleets = RUNNING_FLEETS.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fleets = FLEET_ENDED
            .wait_while(fleets, |count| *count >= MAX_FLEETS)
            .unwrap_or_else(PoisonError::into_inner);
        *fleets += 1;
        drop(fleets);
        loop {
            let (second_octet, third_octet) = rand::rng().random::<(u8, u8)>();
            if !(80..=250).contains(&second_octet) {
                continue;
            }
            let reservation_ip = Ipv4Addr::new(127, second_octet, third_octet, RESERVATION_HOST);
            if let Ok(listener) = TcpListener::bind((reservation_ip, RESERVATION_PORT)) {
                return Self { second_octet, third_octet, _reservation: listener };
            }
        }
    }

    /// Returns the address of the network with this last octet.
    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second_octet, self.third_octet, host))
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        *RUNNING_FLEETS.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FLEET_ENDED.notify_all();
    }
}
