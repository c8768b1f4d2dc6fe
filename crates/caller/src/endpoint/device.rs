//! A smoltcp device that receives at most one packet and collects any number of sent packets.

use smoltcp::phy::{self, DeviceCapabilities, Medium};
use smoltcp::time::Instant;

use crate::packet::MTU;

/// Device for a single call into the TCP stack.
pub(super) struct Device<'a> {
    incoming: Option<&'a [u8]>,
    out: &'a mut Vec<Vec<u8>>,
}

impl<'a> Device<'a> {
    pub(super) const fn new(incoming: Option<&'a [u8]>, out: &'a mut Vec<Vec<u8>>) -> Self {
        Self { incoming, out }
    }
}

/// A received packet.
pub(super) struct RxToken<'a>(&'a [u8]);

/// Appends a sent packet to the output.
pub(super) struct TxToken<'a>(&'a mut Vec<Vec<u8>>);

impl phy::RxToken for RxToken<'_> {
    fn consume<R, F>(self, f: F) -> R
    where
        F: FnOnce(&[u8]) -> R,
    {
        f(self.0)
    }
}

impl phy::TxToken for TxToken<'_> {
    fn consume<R, F>(self, len: usize, f: F) -> R
    where
        F: FnOnce(&mut [u8]) -> R,
    {
        let mut buf = vec![0; len];
        let result = f(&mut buf);
        self.0.push(buf);
        result
    }
}

impl phy::Device for Device<'_> {
    type RxToken<'t>
        = RxToken<'t>
    where
        Self: 't;
    type TxToken<'t>
        = TxToken<'t>
    where
        Self: 't;

    fn receive(&mut self, _now: Instant) -> Option<(Self::RxToken<'_>, Self::TxToken<'_>)> {
        let packet = self.incoming.take()?;
        Some((RxToken(packet), TxToken(self.out)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Self::TxToken<'_>> {
        Some(TxToken(self.out))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut caps = DeviceCapabilities::default();
        caps.medium = Medium::Ip;
        caps.max_transmission_unit = MTU;
        caps
    }
}
