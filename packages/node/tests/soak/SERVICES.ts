/** Services, whether their requests are idempotent, and their number of hosts. */
export const SERVICES = [
  { service: 'parts', isIdempotent: true, hosts: 3 },
  { service: 'orders', isIdempotent: false, hosts: 3 }
] as const
