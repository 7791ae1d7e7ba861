//! Only a server on the daemon's own instance can announce itself.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use proptest::prelude::*;
use sk_ops::{OpsError, ServerAnnouncement, check_announcement};

const OWN: [IpAddr; 2] =
    [IpAddr::V4(Ipv4Addr::new(10, 0, 0, 7)), IpAddr::V4(Ipv4Addr::UNSPECIFIED)];
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn announcement(address: &str) -> ServerAnnouncement {
    ServerAnnouncement {
        service: "/ledvica/board".to_owned(),
        server: "board-1".to_owned(),
        address: address.to_owned(),
        slots: 12,
        is_draining: false,
        version: String::new(),
    }
}

#[test]
fn foreign_address() {
    // A process announces an address of another machine. All callers of the service would be sent
    // there, and another process would answer them.
    for address in ["127.0.0.1:80", "[::1]:80", "10.0.0.7:80", "[::ffff:10.0.0.7]:80"] {
        assert!(check_announcement(&announcement(address), LOOPBACK, &OWN).is_ok(), "{address}");
    }
    for address in ["10.0.0.8:80", "0.0.0.0:80", "[::]:80", "192.0.2.1:80", "[2001:db8::1]:80"] {
        let checked = check_announcement(&announcement(address), LOOPBACK, &OWN);
        assert!(matches!(checked, Err(OpsError::Forbidden { .. })), "{address}: {checked:?}");
    }
}

#[test]
fn foreign_sender() {
    // Another instance announces a server of this instance, for example as draining, which would
    // take the running server out of service.
    let valid = announcement("127.0.0.1:80");
    for sender in [LOOPBACK, OWN[0], IpAddr::V6(Ipv6Addr::LOCALHOST)] {
        assert!(check_announcement(&valid, sender, &OWN).is_ok(), "{sender}");
    }
    let foreign = check_announcement(&valid, Ipv4Addr::new(10, 0, 0, 8).into(), &OWN);
    assert!(matches!(foreign, Err(OpsError::Forbidden { .. })), "{foreign:?}");
}

#[test]
fn field_bounds() {
    let valid = announcement("127.0.0.1:80");
    let long = "x".repeat(65);
    let invalid = [
        ServerAnnouncement { service: "board".to_owned(), ..valid.clone() },
        ServerAnnouncement { service: "/ledvica/../x".to_owned(), ..valid.clone() },
        ServerAnnouncement { server: String::new(), ..valid.clone() },
        ServerAnnouncement { server: long, ..valid.clone() },
        ServerAnnouncement { server: "a b".to_owned(), ..valid.clone() },
        ServerAnnouncement { slots: 0, ..valid.clone() },
        ServerAnnouncement { slots: 10_001, ..valid.clone() },
        announcement("127.0.0.1:0"),
        announcement("board.example:80"),
    ];
    for announced in invalid {
        let checked = check_announcement(&announced, LOOPBACK, &OWN);
        assert!(matches!(checked, Err(OpsError::Malformed { .. })), "{announced:?}: {checked:?}");
    }
}

proptest! {
    #[test]
    fn only_own_addresses(ip in any::<IpAddr>(), sender in any::<IpAddr>(), port in 1..=u16::MAX) {
        let address = std::net::SocketAddr::new(ip, port);
        let checked = check_announcement(&announcement(&address.to_string()), sender, &OWN);
        let is_local =
            |ip: IpAddr| ip.to_canonical().is_loopback() || ip.to_canonical() == OWN[0];
        prop_assert_eq!(checked.is_ok(), is_local(ip) && is_local(sender));
    }
}
