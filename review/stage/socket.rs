//! A client's connection over a link with small segments and a small receive buffer.

use std::{
    ffi::{c_int, c_void},
    io::{Error, Result},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

#[repr(C)]
struct AddressV4 {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32)
    -> c_int;
    fn connect(fd: c_int, address: *const AddressV4, length: u32) -> c_int;
}

/// Connects with options that must be set before.
pub fn open(address: SocketAddr, segment_bytes: c_int, receive_bytes: c_int) -> Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(Error::other("no IPv4 address")) };
    let raw = AddressV4 {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the calls get a valid descriptor and pointers to values of the stated lengths.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in
            [(IPPROTO_TCP, TCP_MAXSEG, segment_bytes), (SOL_SOCKET, SO_RCVBUF, receive_bytes)]
        {
            if setsockopt(fd, level, name, (&raw const value).cast(), 4) != 0 {
                return Err(Error::last_os_error());
            }
        }
        if connect(fd, &raw const raw, 16) != 0 {
            return Err(Error::last_os_error());
        }
        Ok(stream)
    }
}
