import type { DrainOrder } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createOrderRegister, MAX_ORDERS } from '../../src/index.js'

function createOrder (number: number, id: string, subject = 'host/a', action: DrainOrder['action'] = 'drain'): DrainOrder {
  return { subject, action, number, id, operator: 'test', issuedAt: number }
}

describe('createOrderRegister', () => {
  it('stores the order with the higher (number, id) regardless of arrival order (guards against nodes that resolve concurrent orders differently)', () => {
    const orders = [createOrder(1, 'a'), createOrder(2, 'a'), createOrder(2, 'b'), createOrder(1, 'z')]
    for (const rotation of orders.keys()) {
      const register = createOrderRegister()
      for (const order of [...orders.slice(rotation), ...orders.slice(0, rotation)]) register.apply(order)
      expect(register.get('host/a')).to.equal(orders[2])
    }
  })

  it('limits the number of subjects and does not evict drains (guards against unbounded memory use)', () => {
    const register = createOrderRegister()
    register.apply(createOrder(1, 'a', 'host/first', 'drain'))
    for (let index = 0; index < MAX_ORDERS + 10; index++) register.apply(createOrder(1, 'a', `host/h${index}`, 'restore'))
    expect(register.list().length).to.equal(MAX_ORDERS)
    expect(register.isDrained('first', 'x')).to.equal(true)
  })
})
