//! Wires the parts of one daemon together.
