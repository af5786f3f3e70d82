/**
 * @file support_port.h
 * Free ports on loopback, so that test programs can run in parallel.
 */
#ifndef SUPPORT_PORT_H
#define SUPPORT_PORT_H

/** Bytes of the longest "127.0.0.1:PORT", with the NUL. */
#define SUPPORT_ADDRESS_BYTES 24

/**
 * Writes "127.0.0.1:PORT" with a port that was free at the time of the call.
 */
void support_free_address (char address[SUPPORT_ADDRESS_BYTES]);

#endif
