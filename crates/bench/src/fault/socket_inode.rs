//! Finds the inode of a socket.
//!
//! TCP sockets are looked up through the kernel's socket diagnostics (netlink, `sock_diag(7)`).
//! Reading /proc/net/tcp instead walks the kernel's whole hash table, which took 7 ms per
//! connection on a machine with 262144 buckets. UDP sockets are read from /proc/net/udp, which is
//! short.

use std::io;
use std::net::SocketAddrV4;

use rustix::net::AddressFamily;
use rustix::net::RecvFlags;
use rustix::net::SendFlags;
use rustix::net::SocketFlags;
use rustix::net::SocketType;
use rustix::net::netlink;
use rustix::net::recv;
use rustix::net::send;
use rustix::net::socket_with;

/// Message type of requests and replies, from linux/sock_diag.h.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// Flag that marks a request, from linux/netlink.h.
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// Sizes of `nlmsghdr` and of the `inet_diag_req_v2` that follows it.
const HEADER_BYTES: usize = 16;
const BODY_BYTES: usize = 56;
/// Offset of `idiag_inode` in a reply: the header, then its offset in `inet_diag_msg`.
const INODE_OFFSET: usize = HEADER_BYTES + 68;
/// Columns of /proc/net/udp, see `proc(5)`.
const UDP_LOCAL_COLUMN: usize = 1;
const UDP_INODE_COLUMN: usize = 9;

/// Returns the inode of the TCP socket with these addresses, or `None` if there is none.
pub(super) fn find(local: SocketAddrV4, remote: SocketAddrV4) -> io::Result<Option<u32>> {
    let flags = SocketFlags::CLOEXEC;
    let protocol = Some(netlink::SOCK_DIAG);
    let socket = socket_with(AddressFamily::NETLINK, SocketType::DGRAM, flags, protocol)?;
    send(&socket, &request(local, remote), SendFlags::empty())?;
    let mut reply = [0; 1024];
    let (_, length) = recv(&socket, &mut reply[..], RecvFlags::empty())?;
    let message_type = u16::from_ne_bytes([reply[4], reply[5]]);
    // Any other reply is an error message, which means that the socket no longer exists.
    let found = length >= INODE_OFFSET + 4 && message_type == SOCK_DIAG_BY_FAMILY;
    let bytes = reply[INODE_OFFSET..INODE_OFFSET + 4]
        .try_into()
        .map_err(io::Error::other)?;
    Ok(found.then(|| u32::from_ne_bytes(bytes)))
}

/// Returns the inode of the UDP socket with this local port, or `None` if there is none.
pub(super) fn find_udp(port: u16) -> io::Result<Option<u32>> {
    let table = std::fs::read_to_string("/proc/net/udp")?;
    let port_suffix = format!(":{port:04X}");
    let parse_inode = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let local = fields.get(UDP_LOCAL_COLUMN)?;
        if !local.ends_with(&port_suffix) {
            return None;
        }
        fields.get(UDP_INODE_COLUMN)?.parse().ok()
    };
    Ok(table.lines().skip(1).find_map(parse_inode))
}

/// Builds a lookup request. The header is in native byte order, ports and addresses are in network
/// byte order.
fn request(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let mut request = Vec::with_capacity(HEADER_BYTES + BODY_BYTES);
    request.extend(((HEADER_BYTES + BODY_BYTES) as u32).to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and port id, unused since each socket sends one request.
    request.extend([0; 8]);
    request.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // Match sockets in all TCP states.
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        request.extend(address.ip().octets());
        request.extend([0; 12]);
    }
    // Any interface (0) and no cookie (all ones).
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    request
}
