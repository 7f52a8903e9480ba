import type { DrainOrder } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createOrderRegister, MAX_ORDERS } from '../../src/index.js'

function createOrder (number: number, id: string, subject = 'host/a', action: DrainOrder['action'] = 'drain'): DrainOrder {
  return { subject, action, number, id, operator: 'test', issuedAt: number }
}

describe('createOrderRegister', () => {
  it('takes the higher (number, id) whatever the order of arrival (guards against nodes that resolve a race two ways)', () => {
    const orders = [createOrder(1, 'a'), createOrder(2, 'a'), createOrder(2, 'b'), createOrder(1, 'z')]
    for (const rotation of orders.keys()) {
      const register = createOrderRegister()
      for (const order of [...orders.slice(rotation), ...orders.slice(0, rotation)]) register.apply(order)
      expect(register.get('host/a')).to.equal(orders[2])
    }
  })

  it('holds a bounded number of subjects and keeps drains (guards against memory that grows with orders)', () => {
    const register = createOrderRegister()
    register.apply(createOrder(1, 'a', 'host/first', 'drain'))
    for (let index = 0; index < MAX_ORDERS + 10; index++) register.apply(createOrder(1, 'a', `host/h${index}`, 'restore'))
    expect(register.list().length).to.equal(MAX_ORDERS)
    expect(register.isDrained('first', 'x')).to.equal(true)
  })
})
