/**
 * @file support_port.h
 * Free ports on loopback, so that test runs side by side do not meet.
 */
#ifndef SUPPORT_PORT_H
#define SUPPORT_PORT_H

/** Longest "127.0.0.1:PORT", with the NUL. */
#define SUPPORT_ADDRESS_BYTES 24

/** Writes "127.0.0.1:PORT" with a port that was free just now. */
void support_free_address (char address[SUPPORT_ADDRESS_BYTES]);

#endif
